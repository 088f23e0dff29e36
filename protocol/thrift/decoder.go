package thrift

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// decoder reads values from a frame. After an error it returns zero values.
type decoder struct {
	rest []byte
	err  error
}

// readHead reads what every message begins with.
func (d *decoder) readHead() (Head, error) {
	version := d.u32()
	if d.err == nil && version&versionMask != strictVersion {
		d.err = fmt.Errorf("%w: version %#x", ErrMalformed, version)
	}
	head := Head{Type: MessageType(version & 0xff), Name: string(d.bytes()), Seq: int32(d.u32())}
	return head, d.err
}

// take returns the next n bytes.
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

// u8 reads a byte.
func (d *decoder) u8() byte {
	if b := d.take(1); b != nil {
		return b[0]
	}
	return 0
}

// u16 reads two bytes.
func (d *decoder) u16() uint16 {
	if b := d.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

// u32 reads four bytes.
func (d *decoder) u32() uint32 {
	if b := d.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

// bytes reads a string, which its length precedes.
func (d *decoder) bytes() []byte { return d.take(int(int32(d.u32()))) }

// readStruct reads a struct's fields. known is called for each, and reports whether it has
// read it; other fields are skipped.
func (d *decoder) readStruct(known func(id int16, kind byte) bool, depth int) {
	for d.err == nil {
		kind := d.u8()
		if kind == typeStop {
			return
		}
		id := int16(d.u16())
		if d.err == nil && (known == nil || !known(id, kind)) {
			d.skipValue(kind, depth+1)
		}
	}
}

// readStringMap reads a map of strings. One of other types is skipped, and an error of the
// message.
func (d *decoder) readStringMap(m *Message) map[string]string {
	key, value, n := d.u8(), d.u8(), int(int32(d.u32()))
	if n != 0 && (key != typeString || value != typeString) {
		m.Err = errors.New("fields are no map of strings")
		d.skipItems(n, argumentNesting, key, value)
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

// argumentNesting is the nesting of a method's arguments.
const argumentNesting = 1

// skipValue skips a value of a type.
func (d *decoder) skipValue(kind byte, depth int) {
	if depth > maxNesting && d.err == nil {
		d.err = fmt.Errorf("%w: nested deeper than %d", ErrMalformed, maxNesting)
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
		d.readStruct(nil, depth)
	case typeMap:
		key, value := d.u8(), d.u8()
		d.skipItems(int(int32(d.u32())), depth, key, value)
	case typeSet, typeList:
		kind := d.u8()
		d.skipItems(int(int32(d.u32())), depth, kind)
	default:
		d.err = fmt.Errorf("%w: type %d", ErrMalformed, kind)
	}
}

// skipItems skips n items of a list, set or map. Each takes a byte at least, which bounds n.
func (d *decoder) skipItems(n, depth int, kinds ...byte) {
	if d.err == nil && (n < 0 || n > len(d.rest)) {
		d.err = fmt.Errorf("%w: %d items in %d bytes", ErrMalformed, n, len(d.rest))
	}
	for i := 0; i < n && d.err == nil; i++ {
		for _, kind := range kinds {
			d.skipValue(kind, depth+1)
		}
	}
}
