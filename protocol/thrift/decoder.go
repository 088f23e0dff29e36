package thrift

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// decoder decodes values from the bytes of a frame. After an error, its methods return zero
// values.
type decoder struct {
	rest []byte // not decoded yet
	err  error  // the first error
}

// readHeader reads the header of a message.
func (d *decoder) readHeader() (Header, error) {
	version := d.u32()
	if d.err == nil && version&versionMask != strictVersion {
		d.err = fmt.Errorf("%w: version %#x", ErrMalformed, version)
	}
	header := Header{Type: MessageType(version & 0xff), Name: string(d.bytes()), Seq: int32(d.u32())}
	return header, d.err
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

// u16 reads a 16-bit integer.
func (d *decoder) u16() uint16 {
	if b := d.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

// u32 reads a 32-bit integer.
func (d *decoder) u32() uint32 {
	if b := d.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

// bytes reads a string, which is preceded by its length.
func (d *decoder) bytes() []byte { return d.take(int(int32(d.u32()))) }

// readStruct reads the fields of a struct. It calls readField for each field, and skips those
// for which readField reports that it has not read them. A nil readField skips all fields.
func (d *decoder) readStruct(readField func(id int16, typeID byte) bool, depth int) {
	for d.err == nil {
		typeID := d.u8()
		if typeID == typeStop {
			return
		}
		id := int16(d.u16())
		if d.err == nil && (readField == nil || !readField(id, typeID)) {
			d.skipValue(typeID, depth+1)
		}
	}
}

// readStringMap reads a map of strings to strings. It skips a map of other types and sets the
// error of the message.
func (d *decoder) readStringMap(m *Message) map[string]string {
	key, value, n := d.u8(), d.u8(), int(int32(d.u32()))
	if n != 0 && (key != typeString || value != typeString) {
		m.Err = errors.New("fields are no map of strings")
		d.skipItems(n, argumentNesting, key, value)
		return map[string]string{}
	}
	fields := make(map[string]string) // not sized by n, which the sender may have set to any number
	for i := 0; i < n && d.err == nil; i++ {
		name := d.bytes()
		fields[string(name)] = string(d.bytes())
	}
	if n < 0 && d.err == nil {
		d.err = fmt.Errorf("%w: a map of %d", ErrMalformed, n)
	}
	return fields
}

// argumentNesting is the nesting depth of a method's arguments.
const argumentNesting = 1

// skipValue skips a value of a type at a nesting depth.
func (d *decoder) skipValue(typeID byte, depth int) {
	if depth > maxNesting && d.err == nil {
		d.err = fmt.Errorf("%w: nested deeper than %d", ErrMalformed, maxNesting)
	}
	if d.err != nil {
		return
	}
	switch typeID {
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
		typeID := d.u8()
		d.skipItems(int(int32(d.u32())), depth, typeID)
	default:
		d.err = fmt.Errorf("%w: type %d", ErrMalformed, typeID)
	}
}

// skipItems skips the n items of a list, set or map. typeIDs are the types of an item's values:
// one, or for a map two.
// An item has at least one byte, so n can't exceed the number of bytes left.
func (d *decoder) skipItems(n, depth int, typeIDs ...byte) {
	if d.err == nil && (n < 0 || n > len(d.rest)) {
		d.err = fmt.Errorf("%w: %d items in %d bytes", ErrMalformed, n, len(d.rest))
	}
	for i := 0; i < n && d.err == nil; i++ {
		for _, typeID := range typeIDs {
			d.skipValue(typeID, depth+1)
		}
	}
}
