package thrift

import (
	"encoding/binary"
	"sort"
)

// Answer is the service's struct of the same name.
type Answer struct {
	Body   []byte
	Fields map[string]string // see fields.go
	OK     bool              // execute: always true; check: the server is healthy
}

// The field ids of a reply and of the struct Answer in it.
const (
	successID      = 0
	answerBodyID   = 1
	answerFieldsID = 2
	answerOKID     = 3
)

// AppendAnswer appends the reply of execute or check.
func AppendAnswer(to []byte, name string, seq int32, a Answer) []byte {
	return appendFrame(to, Reply, name, seq, func(b []byte) []byte {
		b = append(b, typeStruct, 0, successID)
		b = append(b, typeString, 0, answerBodyID)
		b = appendBytes(b, a.Body)
		b = appendFields(b, answerFieldsID, a.Fields)
		ok := byte(0)
		if a.OK {
			ok = 1
		}
		b = append(b, typeBool, 0, answerOKID, ok)
		return append(b, typeStop)
	})
}

// AppendShed appends execute's reply with the exception Shed: the attempt never ran.
func AppendShed(to []byte, seq int32, fields map[string]string) []byte {
	return appendDeclaredException(to, seq, shedID, fields)
}

// AppendFault appends execute's reply with the exception Fault: the attempt failed.
func AppendFault(to []byte, seq int32, fields map[string]string) []byte {
	return appendDeclaredException(to, seq, faultID, fields)
}

// The field ids of execute's declared exceptions in its reply.
const (
	shedID  = 1
	faultID = 2
)

// appendDeclaredException appends execute's reply with one of its exceptions.
func appendDeclaredException(to []byte, seq int32, id byte, fields map[string]string) []byte {
	return appendFrame(to, Reply, methodExecute, seq, func(b []byte) []byte {
		b = append(b, typeStruct, 0, id)
		b = appendFields(b, 1, fields)
		return append(b, typeStop)
	})
}

// AppendException appends an application exception.
func AppendException(to []byte, name string, seq int32, kind int32, text string) []byte {
	return appendFrame(to, Exception, name, seq, func(b []byte) []byte {
		b = append(b, typeString, 0, 1)
		b = appendBytes(b, []byte(text))
		b = append(b, typeI32, 0, 2)
		return binary.BigEndian.AppendUint32(b, uint32(kind))
	})
}

// AppendLeaving appends the oneway message that the server takes no new request on the
// connection.
func AppendLeaving(to []byte) []byte {
	return appendFrame(to, Oneway, methodLeaving, 0, func(b []byte) []byte { return b })
}

// appendFrame appends a message with its frame. fields appends the fields of its struct.
func appendFrame(to []byte, t MessageType, name string, seq int32, fields func([]byte) []byte) []byte {
	at := len(to)
	to = append(to, make([]byte, frameSizeLength)...) // set below
	to = binary.BigEndian.AppendUint32(to, strictVersion|uint32(t))
	to = appendBytes(to, []byte(name))
	to = binary.BigEndian.AppendUint32(to, uint32(seq))
	to = append(fields(to), typeStop)
	binary.BigEndian.PutUint32(to[at:], uint32(len(to)-at-frameSizeLength))
	return to
}

// appendBytes appends a string.
func appendBytes(b, v []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(v)))
	return append(b, v...)
}

// appendFields appends a field of a struct that is a map of strings, sorted by key.
func appendFields(b []byte, id byte, fields map[string]string) []byte {
	b = append(b, typeMap, 0, id, typeString, typeString)
	b = binary.BigEndian.AppendUint32(b, uint32(len(fields)))
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names) // so that equal answers have equal bytes
	for _, name := range names {
		b = appendBytes(b, []byte(name))
		b = appendBytes(b, []byte(fields[name]))
	}
	return b
}
