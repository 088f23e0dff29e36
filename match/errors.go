package match

import (
	"errors"
	"fmt"
	"strings"

	"cel.dev/cel-go/common/types/ref"
)

// ErrRefused is wrapped by the error of a rule set that is rejected.
var ErrRefused = errors.New("rules refused")

// Problem is one reason why a rule was rejected.
type Problem struct {
	Rule         string // its name, or its index if it has none
	Field        string // match, class or key; empty for the rule as a whole
	Line, Column int    // in the field's expression, from 1; 0 for the whole field
	Reason       string
}

// String formats the problem as operators read it: rule.field:line:column: reason.
func (p Problem) String() string {
	at := p.Rule
	if p.Field != "" {
		at += "." + p.Field
	}
	if p.Line > 0 {
		at += fmt.Sprintf(":%d:%d", p.Line, p.Column)
	}
	return at + ": " + p.Reason
}

// LoadError reports every problem of a rule set that was rejected.
type LoadError struct{ Problems []Problem }

// Error implements error.
func (e *LoadError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return fmt.Sprintf("%s: %s", ErrRefused, strings.Join(lines, "; "))
}

// Unwrap returns ErrRefused.
func (e *LoadError) Unwrap() error { return ErrRefused }

// ValueError reports an expression whose value has another type than its field needs.
type ValueError struct{ Type string }

// Error implements error.
func (e *ValueError) Error() string { return "match: a value of type " + e.Type }

func newValueError(value ref.Val) error { return &ValueError{Type: value.Type().TypeName()} }
