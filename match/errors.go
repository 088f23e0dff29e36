package match

import (
	"errors"
	"fmt"
	"strings"

	"cel.dev/cel-go/common/types/ref"
)

// ErrRejected reports that a rule set has an invalid rule. LoadError wraps it.
var ErrRejected = errors.New("rules rejected")

// Problem is a reason why a rule was rejected.
type Problem struct {
	Rule         string // name of the rule, or rule[INDEX] if it has none
	Field        string // match, class or key; empty if the problem concerns the whole rule
	Line, Column int    // in the field's expression, from 1; 0 if the problem concerns the whole field
	Reason       string
}

// String formats the problem as rule.field:line:column: reason.
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

// LoadError reports all problems of a rule set that was rejected.
type LoadError struct{ Problems []Problem }

// Error implements error.
func (e *LoadError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return fmt.Sprintf("%s: %s", ErrRejected, strings.Join(lines, "; "))
}

// Unwrap returns ErrRejected.
func (e *LoadError) Unwrap() error { return ErrRejected }

// ValueError reports that an expression returned a value whose type is not the one that its
// field requires.
type ValueError struct{ Type string }

// Error implements error.
func (e *ValueError) Error() string {
	return "match: expression returned a value of unexpected type " + e.Type
}

func newValueError(value ref.Val) error { return &ValueError{Type: value.Type().TypeName()} }
