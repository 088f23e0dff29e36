package store

import (
	"fmt"
	"time"
)

// pendingWrite is a queued record with its done function.
type pendingWrite struct {
	record record
	done   func(error)
}

// enqueue queues a write for the writer goroutine, or rejects it by calling done with an error.
func (s *Store) enqueue(w pendingWrite) {
	if err := s.tryEnqueue(w); err != nil {
		w.done(err)
	}
}

func (s *Store) tryEnqueue(w pendingWrite) error {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	if s.closed {
		return ErrClosed
	}
	if s.health.rejectsAt(time.Now()) {
		return s.health.failure
	}
	if live := s.LiveBytes(); live+w.record.encodedSize() > s.options.MaxBytes {
		return fmt.Errorf("%w: record of %d bytes for key %.64q, %d live bytes, limit %d bytes",
			ErrFull, w.record.encodedSize(), w.record.key, live, s.options.MaxBytes)
	}
	if err := w.record.checkSize(); err != nil {
		return err
	}
	s.queue = append(s.queue, w)
	select {
	case s.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
	return nil
}

func (s *Store) takeQueue() []pendingWrite {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	group := s.queue
	s.queue = nil
	return group
}

// runWriter is the writer goroutine. Each time it is woken it writes the queued
// records as one group. After Close it writes the rest of the queue and returns.
func (s *Store) runWriter() {
	defer close(s.writerDone)
	var buffer []byte
	for range s.wake {
		buffer = s.flush(buffer)
	}
	s.flush(buffer)
}

// flush writes the queued records as one group and calls their done functions. It
// encodes the records into buffer and returns the buffer for reuse.
func (s *Store) flush(buffer []byte) []byte {
	group := s.takeQueue()
	if len(group) == 0 {
		return buffer
	}
	buffer, err := s.writeGroup(buffer[:0], group)
	sealDue := err == nil && s.activeBytes >= s.options.SegmentBytes
	for _, w := range group {
		w.done(err)
	}
	if sealDue {
		s.seal()
	}
	return buffer
}

// writeGroup makes a group durable and adds it to the index. If the store is degraded,
// it first repairs the active segment; if the repair fails, it writes nothing.
func (s *Store) writeGroup(buffer []byte, group []pendingWrite) ([]byte, error) {
	if s.isDegraded() {
		if err := s.repairActive(); err != nil {
			return buffer, s.markDegraded(err)
		}
		s.markHealthy()
	}
	buffer, locations := s.encodeGroup(buffer, group)
	if err := s.appendToActive(buffer); err != nil {
		return buffer, s.markDegraded(err)
	}
	s.indexGroup(group, locations)
	return buffer, nil
}

// encodeGroup appends the group's records to buffer and returns their locations in
// the active segment.
func (s *Store) encodeGroup(buffer []byte, group []pendingWrite) ([]byte, []recordLocation) {
	locations := make([]recordLocation, len(group))
	for i, w := range group {
		start := len(buffer)
		buffer = appendRecord(buffer, w.record)
		locations[i] = recordLocation{
			segment: s.activeSegment(),
			offset:  s.activeBytes + int64(start),
			size:    len(buffer) - start,
		}
	}
	return buffer, locations
}

// appendToActive appends data to the active segment and syncs it if the SyncPolicy
// requires it. After an error the segment may hold part of the data.
func (s *Store) appendToActive(data []byte) error {
	if _, err := s.active.Write(data); err != nil {
		return fmt.Errorf("store: write segment: %w", err)
	}
	if s.options.Sync == SyncAlways {
		if err := s.active.Sync(); err != nil {
			return fmt.Errorf("store: sync segment: %w", err)
		}
	}
	s.activeBytes += int64(len(data))
	return nil
}

func (s *Store) indexGroup(group []pendingWrite, locations []recordLocation) {
	s.indexMu.Lock()
	defer s.indexMu.Unlock()
	for i, w := range group {
		s.index.add(w.record, locations[i])
	}
}

// seal starts a new segment and compacts the sealed ones if that is due. An error loses
// no data: the active segment keeps growing, or the sealed segments stay, and the next
// write that fills a segment tries again.
func (s *Store) seal() {
	if err := s.startSegment(); err != nil {
		s.options.OnMaintenanceError(err)
		return
	}
	if err := s.compactIfDue(); err != nil {
		s.options.OnMaintenanceError(err)
	}
}
