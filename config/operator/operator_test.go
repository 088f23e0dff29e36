package operator

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeOperator writes an operator's file, and returns its path.
func writeOperator(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestLoad_DefaultsAndInvalidFiles checks the defaults, and that the schema rejects values out
// of range, unknown fields, and values that are valid alone but dangerous together. The error
// must have the field's path and the reason.
func TestLoad_DefaultsAndInvalidFiles(t *testing.T) {
	o, err := Load("")
	if err != nil || o.Log.Level != "info" || o.Keys.Sync != "always" || o.Log.Repeats != 10 {
		t.Fatalf("Load(\"\") = %+v, %v, want the defaults", o, err)
	}
	if o, err := Load(filepath.Join("..", "..", "deploy", "quincerail.toml")); err != nil || o.Metrics.Listen == "" {
		t.Errorf("Load(deploy/quincerail.toml) = %+v, %v, want a metrics listener", o, err)
	}
	for _, c := range []struct{ name, text, want string }{
		{"level.toml", "[log]\nlevel = 'loud'", `log.level: conflicting values`},
		{"repeats.toml", "[log]\nrepeats = -1", `log.repeats: invalid value -1`},
		{"field.toml", "[log]\nlevle = 'info'", `log.levle: field not allowed`},
		{"listen.toml", "[metrics]\nlisten = 'everywhere'", `metrics.listen: invalid value "everywhere"`},
		{"flood.toml", "[log]\nlevel = 'debug'\nrepeats = 500", `log.repeats: debug writes a line for each request`},
		{"sync.toml", "[keys]\nsync = 'never'", `keys.sync: sync says when the files in dir are synced to disk`},
		{"syntax.toml", "[log", `syntax.toml`},
		{"position.cue", "log: {\n\tlevel: \"info\"\n\trepeats: 20000\n}\n", `log.repeats: invalid value 20000 (out of bound <=10000) (line 3)`},
	} {
		_, err := Load(writeOperator(t, c.name, c.text))
		var oe *Error
		if !errors.As(err, &oe) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("Load(%s) = %v, want an *Error that contains %q", c.name, err, c.want)
		}
	}
}
