package golden

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
)

// recorder counts the errors of what is tested.
type recorder struct {
	testing.TB
	errors int
}

// Errorf implements testing.TB.
func (r *recorder) Errorf(string, ...any) { r.errors++ }

// write puts a file into a folder for the test.
func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestDifferencesAreErrors has each comparison pass what is equal, and report
// what is not.
func TestDifferencesAreErrors(t *testing.T) {
	t.Chdir(t.TempDir())
	write(t, filepath.Join(folder, "value.json"), `{"a":1}`)
	write(t, filepath.Join(folder, "log", "1.log"), "first")
	write(t, filepath.Join("same", "1.log"), "first")
	write(t, filepath.Join("other", "1.log"), "second")
	write(t, filepath.Join("more", "1.log"), "first")
	write(t, filepath.Join("more", "2.log"), "second")
	same, other := map[string]int{"a": 1}, map[string]int{"a": 2}
	for _, c := range []struct {
		what    string
		compare func(t testing.TB)
		errors  int
	}{
		{"equal bytes", func(t testing.TB) { Equal(t, "value.json", []byte(`{"a":1}`)) }, 0},
		{"other bytes", func(t testing.TB) { Equal(t, "value.json", []byte(`{"a":2}`)) }, 1},
		{"bytes that are no text", func(t testing.TB) { Equal(t, "value.json", []byte{0xff}) }, 1},
		{"an equal value", func(t testing.TB) { RoundTrip(t, "value.json", same, json.Marshal, json.Unmarshal) }, 0},
		{"another value", func(t testing.TB) { RoundTrip(t, "value.json", other, json.Marshal, json.Unmarshal) }, 2},
		{"a type that does not fit", func(t testing.TB) { Decodes(t, "value.json", []string{}, json.Unmarshal) }, 1},
		{"an equal folder", func(t testing.TB) { EqualFolder(t, "log", "same") }, 0},
		{"a folder with another file", func(t testing.TB) { EqualFolder(t, "log", "other") }, 1},
		{"a folder with one more file", func(t testing.TB) { EqualFolder(t, "log", "more") }, 1},
		{"a copied folder", func(t testing.TB) { EqualFolder(t, "log", CopyFolder(t, "log")) }, 0},
	} {
		r := &recorder{TB: t}
		c.compare(r)
		if r.errors != c.errors {
			t.Errorf("%s: %d errors, want %d", c.what, r.errors, c.errors)
		}
	}
}
