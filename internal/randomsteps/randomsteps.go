// Package randomsteps drives tests that check a model against random steps, as fuzz
// tests whose input chooses the steps.
package randomsteps

import (
	"bytes"
	"io"
	"math/rand"
	"os"
	"testing"
	"testing/synctest"
)

const (
	corpus = 24  // seeded walks that every run of the tests takes
	length = 400 // bytes that choose the steps of one
)

// Source chooses steps from a fuzz test's input.
type Source struct{ rest []byte }

// More tells whether there is a further step to choose.
func (s *Source) More() bool { return len(s.rest) > 0 }

// Pick chooses a number under n; 0 at the input's end.
func (s *Source) Pick(n int) int {
	if len(s.rest) == 0 {
		return 0
	}
	b := s.rest[0]
	s.rest = s.rest[1:]
	return int(b) % n
}

// Fuzz registers walks with fixed seeds and has each played on a clock of its own.
func Fuzz(f *testing.F, play func(t *testing.T, s *Source)) {
	for seed := range int64(corpus) {
		input := make([]byte, length)
		rand.New(rand.NewSource(seed)).Read(input)
		f.Add(input)
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		synctest.Test(t, func(t *testing.T) { play(t, &Source{input[:min(len(input), length)]}) })
	})
}

// Interrupted is a reader that gives data in chosen parts and, in between,
// interrupted reads as a connection's deadline makes them.
type Interrupted struct {
	Source *Source
	Data   *bytes.Reader
}

// Read implements io.Reader.
func (r Interrupted) Read(p []byte) (int, error) {
	if r.Data.Len() == 0 {
		return 0, io.EOF
	}
	if r.Source.Pick(3) == 1 {
		return 0, os.ErrDeadlineExceeded
	}
	return r.Data.Read(p[:min(len(p), 1+r.Source.Pick(64))])
}
