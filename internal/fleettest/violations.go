package fleettest

import (
	"fmt"

	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/internal/fakes"
)

// Violations returns a description of each violation of the fencing rules so far: a write
// that the registry accepted under a lower token than the previous accepted one, accepted
// writes of two members under one token, or a process that logged updates of the
// dependency's health with decreasing tokens.
func (f *Fleet) Violations() []string {
	writes, _ := f.Registry.Writes()
	return append(writeViolations(writes), logViolations(f.Lines())...)
}

func writeViolations(writes []fakes.FencedWrite) (violations []string) {
	var previous lease.Token
	owner := map[lease.Token]string{}
	for _, w := range writes {
		if !w.Accepted {
			continue
		}
		if w.Token.Compare(previous) < 0 {
			violations = append(violations, fmt.Sprintf("the registry accepted token %v of %s after the higher token %v", w.Token, w.By, previous))
		}
		previous = w.Token
		if by, ok := owner[w.Token]; ok && by != w.By {
			violations = append(violations, fmt.Sprintf("%s and %s both wrote under token %v", by, w.By, w.Token))
		}
		owner[w.Token] = w.By
	}
	return violations
}

func logViolations(lines []Line) (violations []string) {
	seen := map[string]lease.Token{}
	for _, l := range lines {
		switch l.Event {
		case "fleet":
			delete(seen, l.Child)
		case "dependency_health_changed", "judgement": // judgement is the event's name in earlier versions
			t := ParseToken(l.Fields["token"])
			if t.Compare(seen[l.Child]) < 0 {
				violations = append(violations, fmt.Sprintf("%s logged token %v after the higher token %v", l.Child, t, seen[l.Child]))
			}
			seen[l.Child] = t
		}
	}
	return violations
}

// ParseToken parses a token in the form of lease.Token.String. It returns the zero token if s
// doesn't begin with a token, and ignores text after the token.
func ParseToken(s string) (t lease.Token) {
	if _, err := fmt.Sscanf(s, "%d.%d", &t.Term, &t.Index); err != nil {
		return lease.Token{}
	}
	return t
}
