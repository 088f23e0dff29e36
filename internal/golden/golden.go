// Package golden compares encoded data with files that an earlier version of the program wrote.
// It is for data that outlives a process or is exchanged between two versions of the program.
//
// The files are in testdata/golden of the package under test. The README.md there states which
// version wrote them, and how. This package can't write them, and has no flag to update them:
// the versions in use can't read data that differs from its file. A new format gets its own
// files beside the old ones, which the program must still be able to read.
package golden

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"unicode/utf8"
)

// goldenDir is the directory of the golden files, relative to the package under test.
var goldenDir = filepath.Join("testdata", "golden")

// Bytes returns the content of a golden file.
func Bytes(t testing.TB, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(goldenDir, name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Equal reports a test error unless got equals the content of a golden file.
func Equal(t testing.TB, name string, got []byte) {
	t.Helper()
	compare(t, name, got, Bytes(t, name))
}

// RoundTrip reports a test error unless marshal encodes value as the content of a golden file
// and unmarshal decodes the file as value. The format must have a single encoding for the value,
// so a map that is encoded as CBOR must have one entry.
func RoundTrip[T any](t testing.TB, name string, value T, marshal func(any) ([]byte, error), unmarshal func([]byte, any) error) {
	t.Helper()
	got, err := marshal(value)
	if err != nil {
		t.Errorf("encoding the value of golden file %s: %v", name, err)
		return
	}
	Equal(t, name, got)
	Decodes(t, name, value, unmarshal)
}

// Decodes reports a test error unless unmarshal decodes a golden file as want. It is for formats
// that have several encodings for a value.
func Decodes[T any](t testing.TB, name string, want T, unmarshal func([]byte, any) error) {
	t.Helper()
	var got T
	if err := unmarshal(Bytes(t, name), &got); err != nil {
		t.Errorf("decoding golden file %s: %v", name, err)
		return
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("golden file %s is decoded as\n%+v\nwant\n%+v", name, got, want)
	}
}

// CopyFolder copies a directory of golden files, so that a test may write to it, and returns the
// path of the copy.
func CopyFolder(t testing.TB, name string) string {
	t.Helper()
	dst := filepath.Join(t.TempDir(), "copy")
	if err := os.CopyFS(dst, os.DirFS(filepath.Join(goldenDir, name))); err != nil {
		t.Fatal(err)
	}
	return dst
}

// EqualFolder reports a test error unless the directory got has the same files, with the same
// content, as a directory of golden files.
func EqualFolder(t testing.TB, name, got string) {
	t.Helper()
	want := filepath.Join(goldenDir, name)
	files := fileNames(t, want)
	if gotFiles := fileNames(t, got); !slices.Equal(gotFiles, files) {
		t.Errorf("directory %s has files %v, want %v", name, gotFiles, files)
		return
	}
	for _, file := range files {
		b, err := os.ReadFile(filepath.Join(got, file))
		if err != nil {
			t.Fatal(err)
		}
		Equal(t, filepath.Join(name, file), b)
	}
}

// fileNames returns the sorted names of a directory's entries.
func fileNames(t testing.TB, path string) (names []string) {
	t.Helper()
	entries, err := os.ReadDir(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names
}

// compare reports a test error with the first byte where got and want differ. It shows them as
// text if both are valid UTF-8, else in hexadecimal.
func compare(t testing.TB, name string, got, want []byte) {
	t.Helper()
	if bytes.Equal(got, want) {
		return
	}
	offset := 0
	for offset < min(len(got), len(want)) && got[offset] == want[offset] {
		offset++
	}
	format := "%s differs at byte %d:\n%q\nwant\n%q"
	if !utf8.Valid(got) || !utf8.Valid(want) {
		format = "%s differs at byte %d:\n%x\nwant\n%x"
	}
	t.Errorf(format, name, offset, got, want)
}
