package lines

import (
	"encoding/hex"
	"strconv"
	"time"
)

// maxMilliseconds is the exclusive upper bound of a duration in a message, in milliseconds. It
// is about 31 years.
const maxMilliseconds = 1e12

// WordParser parses the words of a line. A method that can't parse its word returns the
// zero value and sets Failed, so callers may parse all words of a message and then check
// Failed once. The zero value of WordParser is ready to use.
type WordParser struct {
	Failed bool // a word did not have the expected format
}

// Uint parses a decimal integer of at most 63 bits.
func (p *WordParser) Uint(word string) uint64 {
	v, err := strconv.ParseUint(word, 10, 63)
	return parsed(p, v, err == nil)
}

// HexUint parses a hexadecimal integer of at most 64 bits.
func (p *WordParser) HexUint(word string) uint64 {
	v, err := strconv.ParseUint(word, 16, 64)
	return parsed(p, v, err == nil)
}

// HexString parses a hexadecimal encoding and returns the decoded bytes as a string.
func (p *WordParser) HexString(word string) string {
	b, err := hex.DecodeString(word)
	return parsed(p, string(b), err == nil)
}

// Float parses a floating-point number, in the formats of strconv.ParseFloat.
func (p *WordParser) Float(word string) float64 {
	v, err := strconv.ParseFloat(word, 64)
	return parsed(p, v, err == nil)
}

// Milliseconds parses a duration in milliseconds, which may have a fraction. Negative
// durations, and those of maxMilliseconds or more, fail.
func (p *WordParser) Milliseconds(word string) time.Duration {
	v, err := strconv.ParseFloat(word, 64)
	return parsed(p, time.Duration(v*float64(time.Millisecond)), err == nil && v >= 0 && v < maxMilliseconds)
}

// Bool parses a boolean, in the formats of strconv.ParseBool.
func (p *WordParser) Bool(word string) bool {
	v, err := strconv.ParseBool(word)
	return parsed(p, v, err == nil)
}

// UnixNano parses a time in nanoseconds since the Unix epoch.
func (p *WordParser) UnixNano(word string) time.Time {
	v, err := strconv.ParseInt(word, 10, 64)
	return parsed(p, time.Unix(0, v), err == nil)
}

// parsed returns v if valid is true. Otherwise it sets Failed and returns the zero value.
func parsed[T any](p *WordParser, v T, valid bool) T {
	if !valid {
		p.Failed = true
		var zero T
		return zero
	}
	return v
}
