// Package randomsteps runs model-based tests as fuzz tests. The bytes of the fuzz input choose
// the random steps of a test.
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
	seedCount    = 24  // number of seed inputs, which every run of the tests uses
	maxInputSize = 400 // size of a seed input in bytes; the rest of a longer input is ignored
)

// Source chooses steps by the bytes of a fuzz test's input.
type Source struct{ rest []byte } // the bytes that have not been used

// More reports whether any input is left.
func (s *Source) More() bool { return len(s.rest) > 0 }

// Pick uses one byte of the input to choose a number from 0 to n-1. It returns 0 at the end of
// the input.
func (s *Source) Pick(n int) int {
	if len(s.rest) == 0 {
		return 0
	}
	b := s.rest[0]
	s.rest = s.rest[1:]
	return int(b) % n
}

// Fuzz registers seed inputs that are the same in every run, and fuzzes run. Each call of run has
// the fake clock of its own synctest bubble.
func Fuzz(f *testing.F, run func(t *testing.T, s *Source)) {
	for seed := range int64(seedCount) {
		input := make([]byte, maxInputSize)
		rand.New(rand.NewSource(seed)).Read(input)
		f.Add(input)
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		synctest.Test(t, func(t *testing.T) { run(t, &Source{input[:min(len(input), maxInputSize)]}) })
	})
}

// InterruptedReader is an io.Reader that returns Data in pieces of sizes that Source chooses.
// Between them it returns os.ErrDeadlineExceeded, as a connection does after a read deadline.
type InterruptedReader struct {
	Source *Source
	Data   *bytes.Reader
}

// Read implements io.Reader.
func (r InterruptedReader) Read(p []byte) (int, error) {
	if r.Data.Len() == 0 {
		return 0, io.EOF
	}
	if r.Source.Pick(3) == 1 {
		return 0, os.ErrDeadlineExceeded
	}
	return r.Data.Read(p[:min(len(p), 1+r.Source.Pick(64))])
}
