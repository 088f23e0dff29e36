// Package thrift is the codec of the balancers' protocol: Thrift's framed
// transport and strict binary protocol, with the messages of the service
// Front. It takes no decisions.
package thrift

import (
	"encoding/binary"
	"errors"
	"fmt"
	"sort"
)

// The limits of the protocol.
const (
	MaxBody   = 2 << 10  // of a request
	MaxResult = 4 << 10  // of an answer
	maxFrame  = 12 << 10 // a body and its fields, with room; must fit a peeked buffer
	maxSkip   = 1 << 20  // a larger frame is taken for bytes that are none
	maxDepth  = 16       // of nested values that are passed over
)

// MessageType is the type in a message's header.
type MessageType byte

// The message types.
const (
	Call      MessageType = 1
	Reply     MessageType = 2
	Exception MessageType = 3
	Oneway    MessageType = 4
)

// The types of values on the wire.
const (
	typeStop   = 0
	typeBool   = 2
	typeByte   = 3
	typeDouble = 4
	typeI16    = 6
	typeI32    = 8
	typeI64    = 10
	typeString = 11
	typeStruct = 12
	typeMap    = 13
	typeSet    = 14
	typeList   = 15
)

// The kinds of application exception that are sent.
const (
	UnknownMethod = 1
	ProtocolError = 7
)

// ErrMalformed marks bytes that are no message.
var ErrMalformed = errors.New("broken message")

// Message is a message that was read: a call's header and its arguments.
type Message struct {
	Head

	Fields map[string]string // execute's first argument
	Body   []byte            // execute's second argument
	CanceledSeq int32             // interrupt's argument
	Probe  bool              // check's argument
	Err    error             // an intact message with arguments that are not the method's
}

// What the first word of a message is in the strict binary protocol, but for the type.
const (
	strictVersion = 0x80010000
	versionMask   = 0xffffff00
)

// decoder reads values; after an error it gives zeroes.
type decoder struct {
	rest []byte
	err  error
}

// head reads what every message begins with.
func (d *decoder) head() (Head, error) {
	version := d.u32()
	if d.err == nil && version&versionMask != strictVersion {
		d.err = fmt.Errorf("%w: version %#x", ErrMalformed, version)
	}
	head := Head{Type: MessageType(version & 0xff), Name: string(d.bytes()), Seq: int32(d.u32())}
	return head, d.err
}

func (d *decoder) take(n int) []byte {
	if d.err == nil && (n < 0 || n > len(d.rest)) {
		d.err = fmt.Errorf("%w: it ends inside a value", ErrMalformed)
	}
	if d.err != nil {
		return nil
	}
	b := d.rest[:n:n]
	d.rest = d.rest[n:]
	return b
}

func (d *decoder) u8() byte {
	if b := d.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (d *decoder) u16() uint16 {
	if b := d.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (d *decoder) u32() uint32 {
	if b := d.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (d *decoder) bytes() []byte { return d.take(int(int32(d.u32()))) }

// structure reads a struct's fields; those that known does not read are passed over.
func (d *decoder) structure(known func(id int16, kind byte) bool, depth int) {
	for d.err == nil {
		kind := d.u8()
		if kind == typeStop {
			return
		}
		id := int16(d.u16())
		if d.err == nil && (known == nil || !known(id, kind)) {
			d.skip(kind, depth+1)
		}
	}
}

func (d *decoder) stringMap(m *Message) map[string]string {
	key, value, n := d.u8(), d.u8(), int(int32(d.u32()))
	if n != 0 && (key != typeString || value != typeString) {
		m.Err = errors.New("fields are no map of strings")
		d.items(n, depthOfArguments, key, value)
		return map[string]string{}
	}
	fields := make(map[string]string) // not sized by n: that is only claimed
	for i := 0; i < n && d.err == nil; i++ {
		k := d.bytes()
		fields[string(k)] = string(d.bytes())
	}
	if n < 0 && d.err == nil {
		d.err = fmt.Errorf("%w: a map of %d", ErrMalformed, n)
	}
	return fields
}

const depthOfArguments = 1

func (d *decoder) skip(kind byte, depth int) {
	if depth > maxDepth && d.err == nil {
		d.err = fmt.Errorf("%w: nested deeper than %d", ErrMalformed, maxDepth)
	}
	if d.err != nil {
		return
	}
	switch kind {
	case typeBool, typeByte:
		d.take(1)
	case typeI16:
		d.take(2)
	case typeI32:
		d.take(4)
	case typeI64, typeDouble:
		d.take(8)
	case typeString:
		d.bytes()
	case typeStruct:
		d.structure(nil, depth)
	case typeMap:
		key, value := d.u8(), d.u8()
		d.items(int(int32(d.u32())), depth, key, value)
	case typeSet, typeList:
		kind := d.u8()
		d.items(int(int32(d.u32())), depth, kind)
	default:
		d.err = fmt.Errorf("%w: type %d", ErrMalformed, kind)
	}
}

// items passes over n items. Each takes a byte at least, which bounds a claimed n.
func (d *decoder) items(n, depth int, kinds ...byte) {
	if d.err == nil && (n < 0 || n > len(d.rest)) {
		d.err = fmt.Errorf("%w: %d items in %d bytes", ErrMalformed, n, len(d.rest))
	}
	for i := 0; i < n && d.err == nil; i++ {
		for _, kind := range kinds {
			d.skip(kind, depth+1)
		}
	}
}

// Answer is the struct of the same name.
type Answer struct {
	Body   []byte
	Fields map[string]string
	OK   bool
}

// AppendAnswer appends the reply of execute or check.
func AppendAnswer(to []byte, name string, seq int32, a Answer) []byte {
	return frame(to, Reply, name, seq, func(b []byte) []byte {
		b = append(b, typeStruct, 0, 0)
		b = append(b, typeString, 0, 1)
		b = appendBytes(b, a.Body)
		b = appendFields(b, 2, a.Fields)
		good := byte(0)
		if a.OK {
			good = 1
		}
		b = append(b, typeBool, 0, 3, good)
		return append(b, typeStop)
	})
}

// AppendShed appends execute's reply with the exception Shed.
func AppendShed(to []byte, seq int32, fields map[string]string) []byte {
	return appendThrown(to, seq, 1, fields)
}

// AppendFault appends execute's reply with the exception Fault.
func AppendFault(to []byte, seq int32, fields map[string]string) []byte {
	return appendThrown(to, seq, 2, fields)
}

func appendThrown(to []byte, seq int32, id byte, fields map[string]string) []byte {
	return frame(to, Reply, "execute", seq, func(b []byte) []byte {
		b = append(b, typeStruct, 0, id)
		b = appendFields(b, 1, fields)
		return append(b, typeStop)
	})
}

// AppendException appends an application exception.
func AppendException(to []byte, name string, seq int32, kind int32, text string) []byte {
	return frame(to, Exception, name, seq, func(b []byte) []byte {
		b = append(b, typeString, 0, 1)
		b = appendBytes(b, []byte(text))
		b = append(b, typeI32, 0, 2)
		return binary.BigEndian.AppendUint32(b, uint32(kind))
	})
}

// AppendLeaving appends the oneway message that no new request is wanted.
func AppendLeaving(to []byte) []byte {
	return frame(to, Oneway, "leaving", 0, func(b []byte) []byte { return b })
}

func frame(to []byte, t MessageType, name string, seq int32, fields func([]byte) []byte) []byte {
	at := len(to)
	to = append(to, 0, 0, 0, 0, 0x80, 0x01, 0, byte(t))
	to = appendBytes(to, []byte(name))
	to = binary.BigEndian.AppendUint32(to, uint32(seq))
	to = append(fields(to), typeStop)
	binary.BigEndian.PutUint32(to[at:], uint32(len(to)-at-4))
	return to
}

func appendBytes(b, v []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(v)))
	return append(b, v...)
}

func appendFields(b []byte, id byte, fields map[string]string) []byte {
	b = append(b, typeMap, 0, id, typeString, typeString)
	b = binary.BigEndian.AppendUint32(b, uint32(len(fields)))
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names) // the same answer is the same bytes
	for _, name := range names {
		b = appendBytes(b, []byte(name))
		b = appendBytes(b, []byte(fields[name]))
	}
	return b
}
