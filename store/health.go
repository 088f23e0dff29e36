package store

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// After a write or sync that failed, the store refuses writes for firstRetryPause, then
// lets one try to repair it; the pause doubles up to maxRetryPause while that fails.
const (
	firstRetryPause = 100 * time.Millisecond
	maxRetryPause   = time.Second
)

// health is the state of the writer. queueMu guards it.
//
//	healthy   writes are queued and written
//	degraded  a write or sync failed; writes are refused with ErrDegraded until retryAt.
//	          The next one after that has the writer repair the active segment: it is
//	          healthy again, or degraded for longer
type health struct {
	failure error // nil while healthy
	retryAt time.Time
	pause   time.Duration
}

// refuses reports whether a write at a time is refused at once.
func (h *health) refuses(now time.Time) bool { return h.failure != nil && now.Before(h.retryAt) }

// degrade takes in that a write, a sync or a repair failed, and returns the error that
// writes are refused with.
func (s *Store) degrade(err error) error {
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

// recoverHealth takes in that the active segment was repaired.
func (s *Store) recoverHealth() {
	s.queueMu.Lock()
	s.health = health{}
	s.queueMu.Unlock()
	s.options.OnHealth(nil)
}

func (s *Store) degraded() bool {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	return s.health.failure != nil
}

// repairActive cuts what was not acknowledged off the active segment and starts a new
// one. The old file is not written again: after a sync that failed, a further one may
// succeed though pages are gone. All that was acknowledged was synced before.
func (s *Store) repairActive() error {
	if s.active != nil {
		_ = s.active.Close() // it is given up
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
	if empty { // else each trouble would leave a file behind
		if err := os.Remove(s.segmentPath(old)); err == nil {
			s.segments = append(s.segments[:len(s.segments)-2], old+1)
		}
	}
	return nil
}
