package lines

import (
	"encoding/hex"
	"strconv"
	"time"
)

// maxMilliseconds bounds a duration on the wire, in milliseconds: about 31 years.
const maxMilliseconds = 1e12

// WordParser reads values from the words of a line. For a word that is not of the type read
// it returns zero and sets Failed, so that a message's words can be read one after the other
// and checked once. Its zero value is ready.
type WordParser struct {
	Failed bool // a word was not of the type read
}

// Uint reads a decimal number of at most 63 bits.
func (p *WordParser) Uint(word string) uint64 {
	v, err := strconv.ParseUint(word, 10, 63)
	return parsed(p, v, err == nil)
}

// HexUint reads a hexadecimal number of at most 64 bits.
func (p *WordParser) HexUint(word string) uint64 {
	v, err := strconv.ParseUint(word, 16, 64)
	return parsed(p, v, err == nil)
}

// HexString reads a string that is written as the hexadecimal digits of its bytes.
func (p *WordParser) HexString(word string) string {
	b, err := hex.DecodeString(word)
	return parsed(p, string(b), err == nil)
}

// Float reads a number.
func (p *WordParser) Float(word string) float64 {
	v, err := strconv.ParseFloat(word, 64)
	return parsed(p, v, err == nil)
}

// Milliseconds reads a duration of so many milliseconds, which need not be whole.
func (p *WordParser) Milliseconds(word string) time.Duration {
	v, err := strconv.ParseFloat(word, 64)
	return parsed(p, time.Duration(v*float64(time.Millisecond)), err == nil && v >= 0 && v < maxMilliseconds)
}

// Bool reads a truth value, in the forms of strconv.ParseBool.
func (p *WordParser) Bool(word string) bool {
	v, err := strconv.ParseBool(word)
	return parsed(p, v, err == nil)
}

// UnixNano reads a time that is written in Unix nanoseconds.
func (p *WordParser) UnixNano(word string) time.Time {
	v, err := strconv.ParseInt(word, 10, 64)
	return parsed(p, time.Unix(0, v), err == nil)
}

// parsed returns v if it is valid, else it records the failure and returns zero.
func parsed[T any](p *WordParser, v T, valid bool) T {
	if !valid {
		p.Failed = true
		var zero T
		return zero
	}
	return v
}
