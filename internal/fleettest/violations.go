package fleettest

import (
	"fmt"

	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/internal/fakes"
)

// Violations lists what must not be: an act accepted at the registry under a lower
// token than one before it, one token acted under by two members, or a member's log
// in which the tokens of judgements go down within one incarnation of its process.
func (f *Fleet) Violations() []string {
	acts, _ := f.Registry.Writes()
	return append(actViolations(acts), logViolations(f.Lines())...)
}

func actViolations(acts []fakes.FencedWrite) (violations []string) {
	var highest lease.Token
	owner := map[lease.Token]string{}
	for _, a := range acts {
		if !a.Accepted {
			continue
		}
		if a.Token.Compare(highest) < 0 {
			violations = append(violations, fmt.Sprintf("the registry accepted %v of %s after %v", a.Token, a.By, highest))
		}
		highest = a.Token
		if by, ok := owner[a.Token]; ok && by != a.By {
			violations = append(violations, fmt.Sprintf("%s and %s acted under %v", by, a.By, a.Token))
		}
		owner[a.Token] = a.By
	}
	return violations
}

func logViolations(lines []Line) (violations []string) {
	seen := map[string]lease.Token{}
	for _, l := range lines {
		switch l.Event {
		case "fleet":
			delete(seen, l.Child)
		case "dependency_health_changed", "judgement": // judgement: of versions before it was renamed
			t := ParseToken(l.Fields["token"])
			if t.Compare(seen[l.Child]) < 0 {
				violations = append(violations, fmt.Sprintf("%s took %v in after %v", l.Child, t, seen[l.Child]))
			}
			seen[l.Child] = t
		}
	}
	return violations
}

// ParseToken reads a token as logs show it; the zero token if it is none.
func ParseToken(s string) (t lease.Token) {
	if _, err := fmt.Sscanf(s, "%d.%d", &t.Term, &t.Index); err != nil {
		return lease.Token{}
	}
	return t
}
