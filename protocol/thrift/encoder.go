package thrift

import (
	"encoding/binary"
	"sort"
)

// Answer is the struct Answer of the service Front: the result of execute and of check.
type Answer struct {
	Body   []byte
	Fields map[string]string // see fields.go
	OK     bool              // execute: always true; check: whether the server is healthy
}

// The field ids of a reply and of the struct Answer in it.
const (
	successFieldID      = 0
	answerBodyFieldID   = 1
	answerFieldsFieldID = 2
	answerOKFieldID     = 3
)

// AppendAnswer appends to dst the reply to a call of execute or check.
func AppendAnswer(dst []byte, name string, seq int32, a Answer) []byte {
	return appendFrame(dst, Reply, name, seq, func(b []byte) []byte {
		b = append(b, typeStruct, 0, successFieldID)
		b = append(b, typeString, 0, answerBodyFieldID)
		b = appendBytes(b, a.Body)
		b = appendFields(b, answerFieldsFieldID, a.Fields)
		ok := byte(0)
		if a.OK {
			ok = 1
		}
		b = append(b, typeBool, 0, answerOKFieldID, ok)
		return append(b, typeStop)
	})
}

// AppendShed appends to dst execute's reply with the exception Shed: the attempt did not run.
func AppendShed(dst []byte, seq int32, fields map[string]string) []byte {
	return appendDeclaredException(dst, seq, shedFieldID, fields)
}

// AppendFault appends to dst execute's reply with the exception Fault: the attempt failed.
func AppendFault(dst []byte, seq int32, fields map[string]string) []byte {
	return appendDeclaredException(dst, seq, faultFieldID, fields)
}

// The field ids of execute's declared exceptions in its reply.
const (
	shedFieldID  = 1
	faultFieldID = 2
)

// appendDeclaredException appends to dst execute's reply with the declared exception whose field
// id is id.
func appendDeclaredException(dst []byte, seq int32, id byte, fields map[string]string) []byte {
	return appendFrame(dst, Reply, methodExecute, seq, func(b []byte) []byte {
		b = append(b, typeStruct, 0, id)
		b = appendFields(b, 1, fields)
		return append(b, typeStop)
	})
}

// AppendException appends to dst an application exception. exceptionType is one of the types
// that this package declares.
func AppendException(dst []byte, name string, seq int32, exceptionType int32, text string) []byte {
	return appendFrame(dst, Exception, name, seq, func(b []byte) []byte {
		b = append(b, typeString, 0, 1)
		b = appendBytes(b, []byte(text))
		b = append(b, typeI32, 0, 2)
		return binary.BigEndian.AppendUint32(b, uint32(exceptionType))
	})
}

// AppendLeaving appends to dst the oneway message leaving: the server accepts no new request
// on the connection.
func AppendLeaving(dst []byte) []byte {
	return appendFrame(dst, Oneway, methodLeaving, 0, func(b []byte) []byte { return b })
}

// appendFrame appends a framed message to dst. appendArgs appends the fields of the message's
// struct.
func appendFrame(dst []byte, t MessageType, name string, seq int32, appendArgs func([]byte) []byte) []byte {
	start := len(dst)
	dst = append(dst, make([]byte, frameSizeLength)...) // set below
	dst = binary.BigEndian.AppendUint32(dst, strictVersion|uint32(t))
	dst = appendBytes(dst, []byte(name))
	dst = binary.BigEndian.AppendUint32(dst, uint32(seq))
	dst = append(appendArgs(dst), typeStop)
	binary.BigEndian.PutUint32(dst[start:], uint32(len(dst)-start-frameSizeLength))
	return dst
}

// appendBytes appends a string: its length and its bytes.
func appendBytes(b, v []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(v)))
	return append(b, v...)
}

// appendFields appends a struct field that is a map of strings, sorted by key.
func appendFields(b []byte, id byte, fields map[string]string) []byte {
	b = append(b, typeMap, 0, id, typeString, typeString)
	b = binary.BigEndian.AppendUint32(b, uint32(len(fields)))
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names) // so that equal answers are encoded as equal bytes
	for _, name := range names {
		b = appendBytes(b, []byte(name))
		b = appendBytes(b, []byte(fields[name]))
	}
	return b
}
