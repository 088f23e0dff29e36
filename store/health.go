package store

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// After a failed write or sync, the store rejects writes for firstRetryPause. The next
// write then triggers a repair. Each failed repair doubles the pause, up to maxRetryPause.
const (
	firstRetryPause = 100 * time.Millisecond
	maxRetryPause   = time.Second
)

// health is the state of the writer. queueMu guards it.
//
//	healthy   writes are queued and written
//	degraded  a write or sync failed; writes are rejected with ErrDegraded until retryAt.
//	          On the next write after that, the writer repairs the active segment. If
//	          the repair succeeds, the writer is healthy; else it stays degraded, with a
//	          longer pause
type health struct {
	failure error // wraps ErrDegraded; nil while healthy
	retryAt time.Time
	pause   time.Duration // from the last failure to retryAt
}

// rejectsAt reports whether a write at the given time is rejected without being queued.
func (h *health) rejectsAt(now time.Time) bool { return h.failure != nil && now.Before(h.retryAt) }

// markDegraded marks the store degraded after a failed write, sync or repair, and calls
// OnHealth. It returns the error with which writes are rejected.
func (s *Store) markDegraded(err error) error {
	s.queueMu.Lock()
	h := &s.health
	h.pause = min(max(2*h.pause, firstRetryPause), maxRetryPause)
	h.retryAt = time.Now().Add(h.pause)
	h.failure = fmt.Errorf("%w: %w", ErrDegraded, err)
	failure := h.failure
	s.queueMu.Unlock()
	s.options.OnHealth(failure)
	return failure
}

// markHealthy marks the store healthy after a successful repair and calls OnHealth.
func (s *Store) markHealthy() {
	s.queueMu.Lock()
	s.health = health{}
	s.queueMu.Unlock()
	s.options.OnHealth(nil)
}

func (s *Store) isDegraded() bool {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	return s.health.failure != nil
}

// repairActive truncates the active segment to its acknowledged records and starts a new
// segment. The old file is not written again: after a failed sync, another sync may
// succeed although the pages that failed are lost. All acknowledged records were synced
// before, if the SyncPolicy requires it.
func (s *Store) repairActive() error {
	if s.active != nil {
		_ = s.active.Close() // the file is not used again
		s.active = nil
	}
	old := s.activeSegment()
	if err := os.Truncate(s.segmentPath(old), s.activeBytes); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("store: repair segment: %w", err)
	}
	f, size, err := s.openForAppend(old + 1)
	if err != nil {
		return err
	}
	empty := s.activeBytes == 0
	s.active, s.activeBytes = f, size
	s.segments = append(s.segments, old+1)
	if empty { // otherwise each failure would leave an empty file behind
		if err := os.Remove(s.segmentPath(old)); err == nil {
			s.segments = append(s.segments[:len(s.segments)-2], old+1)
		}
	}
	return nil
}
