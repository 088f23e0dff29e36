// Package golden compares what the program writes with files that an earlier
// version of it wrote, for the forms that outlive a process or go between two
// versions of the program.
//
// The files lie in testdata/golden of the package under test; the README.md
// there says which version wrote them, and how. Nothing in this package writes
// them, and there is no flag that does: a form that differs from its file is one
// that the versions in use do not read. A change of a form gets files of its own
// beside the former ones, which the program must read still.
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

// folder is where the files of a package lie.
var folder = filepath.Join("testdata", "golden")

// Bytes reads a golden file of the package under test.
func Bytes(t testing.TB, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(folder, name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Equal reports an error unless got is a golden file, byte for byte.
func Equal(t testing.TB, name string, got []byte) {
	t.Helper()
	compare(t, name, got, Bytes(t, name))
}

// RoundTrip reports an error unless marshal gives a golden file for a value,
// byte for byte, and unmarshal gives the value for the file. It is for forms
// that have one encoding for each value: CBOR maps must have a single entry.
func RoundTrip[T any](t testing.TB, name string, value T, marshal func(any) ([]byte, error), unmarshal func([]byte, any) error) {
	t.Helper()
	got, err := marshal(value)
	if err != nil {
		t.Errorf("%s: %v", name, err)
		return
	}
	Equal(t, name, got)
	Decodes(t, name, value, unmarshal)
}

// Decodes reports an error unless unmarshal gives a value for a golden file. It
// is for forms that have several encodings for one value.
func Decodes[T any](t testing.TB, name string, want T, unmarshal func([]byte, any) error) {
	t.Helper()
	var got T
	if err := unmarshal(Bytes(t, name), &got); err != nil {
		t.Errorf("%s: %v", name, err)
		return
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s is read as\n%+v\nwant\n%+v", name, got, want)
	}
}

// CopyFolder copies a golden folder, so that a test may open it for writing, and
// gives the copy's path.
func CopyFolder(t testing.TB, name string) string {
	t.Helper()
	to := filepath.Join(t.TempDir(), "copy")
	if err := os.CopyFS(to, os.DirFS(filepath.Join(folder, name))); err != nil {
		t.Fatal(err)
	}
	return to
}

// EqualFolder reports an error unless a folder holds the files of a golden
// folder, byte for byte, and no others.
func EqualFolder(t testing.TB, name, got string) {
	t.Helper()
	want := filepath.Join(folder, name)
	files := fileNames(t, want)
	if others := fileNames(t, got); !slices.Equal(others, files) {
		t.Errorf("%s: files %v, want %v", name, others, files)
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

// fileNames gives the names of a folder's files, in order.
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

// compare reports where two forms begin to differ: as text where both are.
func compare(t testing.TB, name string, got, want []byte) {
	t.Helper()
	if bytes.Equal(got, want) {
		return
	}
	at := 0
	for at < min(len(got), len(want)) && got[at] == want[at] {
		at++
	}
	format := "%s differs at byte %d:\n%q\nwant\n%q"
	if !utf8.Valid(got) || !utf8.Valid(want) {
		format = "%s differs at byte %d:\n%x\nwant\n%x"
	}
	t.Errorf(format, name, at, got, want)
}
