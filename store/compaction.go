package store

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
)

// compactionRatio is the ratio of the sealed segments' size to the size of the live
// records above which the sealed segments are compacted.
const compactionRatio = 2

// compactIfDue compacts the sealed segments if their size, counted as SegmentBytes each,
// exceeds compactionRatio times the size of all live records.
func (s *Store) compactIfDue() error {
	s.indexMu.Lock()
	defer s.indexMu.Unlock()
	sealed := s.sealedSegments()
	sealedBytes := int64(len(sealed)) * s.options.SegmentBytes
	if sealedBytes <= compactionRatio*s.LiveBytes() {
		return nil
	}
	return s.compact(sealed)
}

// compact replaces the sealed segments, which must be the oldest ones, with one
// segment that has the number of the last of them and holds the records that must
// be retained. The caller holds indexMu.
func (s *Store) compact(sealed []int) error {
	target := newCompactedSegment(sealed[len(sealed)-1])
	retained := s.retainedRecords(target.number)
	for _, segment := range sealed {
		if err := target.copyFrom(s.segmentPath(segment), retained[segment]); err != nil {
			return fmt.Errorf("store: compaction: %w", err)
		}
	}
	if err := s.installCompacted(target); err != nil {
		return err
	}
	// The new segment is in use from here on, even if a later step fails. If the rename
	// is not known to be durable, the older segments stay. Recovery replays them before
	// the new segment, so they override none of its records.
	s.index.relocate(target.number, target.locations)
	s.segments = append([]int{target.number}, s.segments[len(sealed):]...)
	if err := syncDirectory(s.options.Dir); err != nil {
		return err
	}
	if err := s.removeSegments(sealed[:len(sealed)-1]); err != nil {
		return err
	}
	return syncDirectory(s.options.Dir)
}

// indexedRecord is a record in the index.
type indexedRecord struct {
	key      string
	location recordLocation
}

// retainedRecords returns the records that a compaction of the segments up to number
// last must keep: by segment, in the order in which they were written.
func (s *Store) retainedRecords(last int) map[int][]indexedRecord {
	now := s.options.Now()
	bySegment := map[int][]indexedRecord{}
	for key, location := range s.index.locations {
		if location.segment <= last && location.retainUntil.After(now) {
			bySegment[location.segment] = append(bySegment[location.segment], indexedRecord{key, location})
		}
	}
	for _, records := range bySegment {
		slices.SortFunc(records, func(a, b indexedRecord) int {
			return cmp.Compare(a.location.offset, b.location.offset)
		})
	}
	return bySegment
}

// compactedSegment is the segment that a compaction writes.
type compactedSegment struct {
	number    int
	data      []byte
	locations map[string]recordLocation // by key
}

func newCompactedSegment(number int) *compactedSegment {
	return &compactedSegment{number: number, locations: map[string]recordLocation{}}
}

// copyFrom appends the given records of the sealed segment at path.
func (c *compactedSegment) copyFrom(path string, records []indexedRecord) (err error) {
	if len(records) == 0 {
		return nil
	}
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	for _, r := range records {
		start := len(c.data)
		c.data = append(c.data, make([]byte, r.location.size)...)
		if _, err := f.ReadAt(c.data[start:], r.location.offset); err != nil {
			return err
		}
		moved := r.location
		moved.segment, moved.offset = c.number, int64(start)
		c.locations[r.key] = moved
	}
	return nil
}

// installCompacted atomically replaces the sealed segment of the same number with the
// compacted segment. If it fails, the sealed segment is unchanged.
func (s *Store) installCompacted(c *compactedSegment) error {
	path := s.segmentPath(c.number)
	temporary := path + temporarySuffix
	err := writeFileDurably(temporary, c.data)
	if err == nil {
		err = os.Rename(temporary, path)
	}
	if err != nil {
		_ = os.Remove(temporary) // if this fails, the next recovery removes the file
		return fmt.Errorf("store: compaction: %w", err)
	}
	return nil
}

// removeSegments removes the files of the segments in the given order.
func (s *Store) removeSegments(segments []int) error {
	for _, segment := range segments {
		if err := os.Remove(s.segmentPath(segment)); err != nil {
			return fmt.Errorf("store: compaction: %w", err)
		}
	}
	return nil
}
