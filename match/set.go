package match

import "sync/atomic"

// Set is a compiled rule set. It is safe for concurrent use.
type Set struct {
	rules             []compiledRule
	index             index
	maxCost           uint64
	usesBody          bool
	warnings          []string
	version           atomic.Uint64 // set by ActiveRules.Replace; 0 before
	failedEvaluations atomic.Uint64
}

// Len returns the number of rules.
func (s *Set) Len() int { return len(s.rules) }

// Warnings returns a text for each pair of rules found to match the same request. The text
// contains the request. The earlier rule is used for such requests.
func (s *Set) Warnings() []string { return s.warnings }

// Version returns the version that ActiveRules.Replace gave the set, or 0 if Replace has
// not been called with it.
func (s *Set) Version() uint64 { return s.version.Load() }

// UsesBody reports whether any rule may use the body. If so, a frontend must read the body
// before it classifies a request.
func (s *Set) UsesBody() bool { return s.usesBody }

// FailedEvaluations returns the number of rule evaluations that failed. A failed evaluation
// counts as no match.
func (s *Set) FailedEvaluations() uint64 { return s.failedEvaluations.Load() }

// Request contains the values of a rule's variables for one request. Header names are in lower
// case.
type Request struct {
	Frontend, Method, Path string
	Headers                map[string]string
	Body                   []byte
}

// Result is the classification of a request by a rule set.
type Result struct {
	Rule    string // name of the rule that matched
	Class   string
	Key     string // idempotency key; empty if the rule has none
	Version uint64 // version of the set
}

// Classify returns the result of the first rule that matches, or false if no rule does.
func (s *Set) Classify(r Request) (Result, bool) {
	vars := &activation{r}
	for i := range s.index.candidates(r.Path) {
		result, matched, err := s.rules[i].classify(vars)
		if err != nil {
			s.failedEvaluations.Add(1)
			continue
		}
		if matched {
			result.Version = s.Version()
			return result, true
		}
	}
	return Result{}, false
}

// ActiveRules holds the rule set in use. A request is classified by the set that Load
// returned for it, even if Replace is called meanwhile.
type ActiveRules struct {
	set         atomic.Pointer[Set]
	lastVersion atomic.Uint64
}

// Replace makes s the set in use and gives it the next version, which it returns.
func (rs *ActiveRules) Replace(s *Set) uint64 {
	version := rs.lastVersion.Add(1)
	s.version.Store(version)
	rs.set.Store(s)
	return version
}

// Load returns the set in use, or nil before the first call of Replace.
func (rs *ActiveRules) Load() *Set { return rs.set.Load() }
