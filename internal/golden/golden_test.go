package golden

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
)

// recorder counts the errors that the functions under test report.
type recorder struct {
	testing.TB
	errors int
}

// Errorf implements testing.TB.
func (r *recorder) Errorf(string, ...any) { r.errors++ }

// write writes a file and creates its directory.
func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestComparisons_ReportDifferences checks that each comparison accepts equal data and reports
// different data.
func TestComparisons_ReportDifferences(t *testing.T) {
	t.Chdir(t.TempDir())
	write(t, filepath.Join(goldenDir, "value.json"), `{"a":1}`)
	write(t, filepath.Join(goldenDir, "log", "1.log"), "first")
	write(t, filepath.Join("same", "1.log"), "first")
	write(t, filepath.Join("other", "1.log"), "second")
	write(t, filepath.Join("more", "1.log"), "first")
	write(t, filepath.Join("more", "2.log"), "second")
	same, other := map[string]int{"a": 1}, map[string]int{"a": 2}
	for _, tc := range []struct {
		name    string
		compare func(t testing.TB)
		errors  int
	}{
		{"equal bytes", func(t testing.TB) { Equal(t, "value.json", []byte(`{"a":1}`)) }, 0},
		{"different bytes", func(t testing.TB) { Equal(t, "value.json", []byte(`{"a":2}`)) }, 1},
		{"bytes that are not UTF-8", func(t testing.TB) { Equal(t, "value.json", []byte{0xff}) }, 1},
		{"equal value", func(t testing.TB) { RoundTrip(t, "value.json", same, json.Marshal, json.Unmarshal) }, 0},
		{"different value", func(t testing.TB) { RoundTrip(t, "value.json", other, json.Marshal, json.Unmarshal) }, 2},
		{"value of another type", func(t testing.TB) { Decodes(t, "value.json", []string{}, json.Unmarshal) }, 1},
		{"equal directory", func(t testing.TB) { EqualFolder(t, "log", "same") }, 0},
		{"directory with a different file", func(t testing.TB) { EqualFolder(t, "log", "other") }, 1},
		{"directory with an additional file", func(t testing.TB) { EqualFolder(t, "log", "more") }, 1},
		{"copied directory", func(t testing.TB) { EqualFolder(t, "log", CopyFolder(t, "log")) }, 0},
	} {
		r := &recorder{TB: t}
		tc.compare(r)
		if r.errors != tc.errors {
			t.Errorf("%s: %d errors reported, want %d", tc.name, r.errors, tc.errors)
		}
	}
}
