package match

import (
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
)

// File is an operator's rule file in TOML:
//
//	max_cost = 50000          # optional: cost limit in CEL cost units; default DefaultMaxCost
//	[[rule]]
//	name  = "gava"
//	match = 'method == "POST" && path == "/gavor"'
//	class = '"ny-gava"'
//	key   = 'headers["idempotency-key"]'
type File struct {
	MaxCost uint64 `toml:"max_cost"`
	Rules   []Rule `toml:"rule"`
}

// Parse parses the text of a rule file and compiles its rules. classes are the known classes,
// as in Options. An unknown key is an error, because a misspelled key would otherwise be
// ignored.
func Parse(text string, classes []string) (*Set, error) {
	var file File
	metadata, err := toml.Decode(text, &file)
	if err != nil {
		return nil, fmt.Errorf("match: %w", err)
	}
	if unknown := metadata.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("match: unknown key %s", unknown[0])
	}
	return Compile(file.Rules, Options{Classes: classes, MaxCost: file.MaxCost})
}

// Load reads a rule file and compiles its rules as Parse does.
func Load(path string, classes []string) (*Set, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("match: %w", err)
	}
	s, err := Parse(string(text), classes)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}
