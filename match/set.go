package match

import "sync/atomic"

// Set is a compiled rule set. It is safe for concurrent use.
type Set struct {
	rules    []compiledRule
	index    index
	maxCost  uint64
	usesBody bool
	warnings []string
	version  atomic.Uint64 // set by Rules when it puts the set in force
	errors   atomic.Uint64
}

// Len returns the number of rules.
func (s *Set) Len() int { return len(s.rules) }

// Warnings describes the pairs of rules that were found to match the same request, with the
// request; the earlier rule wins.
func (s *Set) Warnings() []string { return s.warnings }

// Version returns the number that Rules gave the set, or 0 before.
func (s *Set) Version() uint64 { return s.version.Load() }

// UsesBody reports whether a rule uses the body, so that a frontend has to read it before
// it classifies.
func (s *Set) UsesBody() bool { return s.usesBody }

// Errors counts the evaluations that failed, which count as no match.
func (s *Set) Errors() uint64 { return s.errors.Load() }

// Request is what a rule sees of a request. Header names are lower case.
type Request struct {
	Front, Method, Path string
	Headers             map[string]string
	Body                []byte
}

// Result is what a rule set decided about a request.
type Result struct {
	Rule    string // that matched
	Class   string
	Key     string // empty if the rule has none
	Version uint64 // of the set
}

// Classify returns the result of the first rule that matches, or false if none does.
func (s *Set) Classify(r Request) (Result, bool) {
	vars := &activation{r}
	for i := range s.index.candidates(r.Path) {
		result, matched, err := s.rules[i].classify(vars)
		if err != nil {
			s.errors.Add(1)
			continue
		}
		if matched {
			result.Version = s.Version()
			return result, true
		}
	}
	return Result{}, false
}

// Rules holds the rule set in force. A request is classified by the one set that Load
// returned for it, even if another set is put in force meanwhile.
type Rules struct {
	set         atomic.Pointer[Set]
	lastVersion atomic.Uint64
}

// Replace puts a set in force and returns its version, the next number.
func (rs *Rules) Replace(s *Set) uint64 {
	version := rs.lastVersion.Add(1)
	s.version.Store(version)
	rs.set.Store(s)
	return version
}

// Load returns the set in force, or nil before the first.
func (rs *Rules) Load() *Set { return rs.set.Load() }
