package operator

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func writeOperator(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestOperator checks operator's files against the schema: defaults, values out
// of range, fields that are not there, and combinations that are valid alone
// but dangerous together, each refused with its path and reason.
func TestOperator(t *testing.T) {
	o, err := Load("")
	if err != nil || o.Log.Level != "info" || o.Keys.Sync != "always" || o.Log.Repeats != 10 {
		t.Fatalf("defaults: %+v, %v", o, err)
	}
	if o, err := Load(filepath.Join("..", "..", "deploy", "quincerail.toml")); err != nil || o.Metrics.Listen == "" {
		t.Errorf("the deploy folder's file: %+v, %v", o, err)
	}
	for _, c := range []struct{ name, text, want string }{
		{"level.toml", "[log]\nlevel = 'loud'", `log.level: conflicting values`},
		{"repeats.toml", "[log]\nrepeats = -1", `log.repeats: invalid value -1`},
		{"field.toml", "[log]\nlevle = 'info'", `log.levle: field not allowed`},
		{"listen.toml", "[metrics]\nlisten = 'everywhere'", `metrics.listen: invalid value "everywhere"`},
		{"flood.toml", "[log]\nlevel = 'debug'\nrepeats = 500", `log.repeats: debug writes a line for each request`},
		{"sync.toml", "[keys]\nsync = 'never'", `keys.sync: sync says how the folder of keys is written`},
		{"syntax.toml", "[log", `syntax.toml`},
		{"place.cue", "log: {\n\tlevel: \"info\"\n\trepeats: 20000\n}\n", `log.repeats: invalid value 20000 (out of bound <=10000) (line 3)`},
	} {
		_, err := Load(writeOperator(t, c.name, c.text))
		var oe *Error
		if !errors.As(err, &oe) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q", c.name, err, c.want)
		}
	}
}
