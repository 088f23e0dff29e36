package store

import "time"

const (
	// expiryInterval is the least time between two searches of the index for expired records.
	expiryInterval = time.Second

	// expiryFraction is the fraction of MaxBytes above which the writer searches for them.
	expiryFraction = 0.5
)

// fullState says whether writes are rejected because the store is full, and when the index is to
// be searched for expired records. queueMu guards it, except for reported and searchedAt, which
// only the writer goroutine uses.
type fullState struct {
	isFull     bool
	searchFor  time.Time // the writer is to search for records that have expired by then; zero for no search
	reported   bool      // the last value that OnFull got
	searchedAt time.Time
}

// recordUse records whether a write of size bytes is rejected because the store is full, and
// returns that. If much is used, it asks the writer to search for expired records. The caller
// holds queueMu.
func (s *Store) recordUse(size int64) (isFull bool) {
	used := s.LiveBytes() + size
	isFull = used > s.options.MaxBytes
	if float64(used) > expiryFraction*float64(s.options.MaxBytes) {
		s.full.searchFor = s.options.Now()
	}
	if isFull || s.full.isFull {
		s.wakeWriter() // it searches, and reports to OnFull
	}
	s.full.isFull = isFull
	return isFull
}

// expireRecords removes the expired records from the index if that is due, so that they no longer
// count as live, and reports to OnFull if the store has become full, or takes writes again. Only
// the writer goroutine calls it.
func (s *Store) expireRecords() {
	s.queueMu.Lock()
	isFull, searchFor := s.full.isFull, s.full.searchFor
	s.full.searchFor = time.Time{}
	s.queueMu.Unlock()
	if !searchFor.IsZero() && searchFor.Sub(s.full.searchedAt).Abs() >= expiryInterval {
		s.full.searchedAt = searchFor
		s.indexMu.Lock()
		s.index.removeExpired(searchFor)
		s.indexMu.Unlock()
	}
	if isFull != s.full.reported {
		s.full.reported = isFull
		s.options.OnFull(isFull)
	}
}
