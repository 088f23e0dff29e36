package match

import (
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
)

// File is a rule file as an operator writes it, in TOML:
//
//	max_cost = 50000          # optional: a rule's bound in CEL's cost units
//	[[rule]]
//	name  = "gava"
//	match = 'method == "POST" && path == "/gavor"'
//	class = '"ny-gava"'
//	key   = 'headers["idempotency-key"]'
type File struct {
	MaxCost uint64 `toml:"max_cost"`
	Rules   []Rule `toml:"rule"`
}

// Parse reads the rules of a file's text and compiles them for the classes. An unknown key
// is an error, since a misspelt one would be ignored.
func Parse(text string, classes []string) (*Set, error) {
	var file File
	metadata, err := toml.Decode(text, &file)
	if err != nil {
		return nil, fmt.Errorf("match: %w", err)
	}
	if unknown := metadata.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("match: %s: no such key", unknown[0])
	}
	return Compile(file.Rules, Options{Classes: classes, MaxCost: file.MaxCost})
}

// Load reads a rule file and compiles its rules, as Parse does.
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
