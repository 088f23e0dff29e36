package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Loss is data loss: the part of a segment from which no records could be read.
type Loss struct {
	Segment string // file name
	Offset  int64  // in bytes, from the start of the segment
	Bytes   int64  // from Offset to the end of the segment
}

func (l Loss) String() string {
	return fmt.Sprintf("%s at offset %d: %d bytes unreadable", l.Segment, l.Offset, l.Bytes)
}

// RecoveredState is the contents of a store's directory, as read by Open or Inspect.
type RecoveredState struct {
	Values         map[string]Value // the latest value of each key, unless it has expired
	Losses         []Loss           // empty if all segments were read completely
	TruncatedBytes int64            // size of the unfinished write at the end of the active segment
}

// Inspect reads a store's directory as Open does but does not change it: it only
// reports the bytes that Open would truncate. The directory may be in use.
func Inspect(dir string, now time.Time) (*RecoveredState, error) {
	s := newStore(Options{Dir: dir, Now: func() time.Time { return now }})
	return s.recoverSegments(false)
}

// recovery replays a store's segments into its index. It changes files only if
// repair is set.
type recovery struct {
	store     *Store
	repair    bool
	now       time.Time
	recovered *RecoveredState
}

// recoverSegments replays the segments, oldest first. If repair is set, it also
// removes the temporary file of an unfinished compaction and truncates each segment
// at the first record that cannot be read.
func (s *Store) recoverSegments(repair bool) (*RecoveredState, error) {
	r := recovery{
		store:     s,
		repair:    repair,
		now:       s.options.Now(),
		recovered: &RecoveredState{Values: map[string]Value{}},
	}
	if err := r.findSegments(); err != nil {
		return nil, err
	}
	for i, segment := range s.segments {
		if err := r.replaySegment(segment, i == len(s.segments)-1); err != nil {
			return nil, err
		}
	}
	s.index.removeExpired(r.now)
	return r.recovered, nil
}

// findSegments finds the directory's segments and sorts them by number.
func (r *recovery) findSegments() error {
	entries, err := os.ReadDir(r.store.options.Dir)
	if err != nil && !errors.Is(err, os.ErrNotExist) { // Inspect may run before the directory exists
		return fmt.Errorf("store: list segments: %w", err)
	}
	for _, entry := range entries {
		name := entry.Name()
		if strings.HasSuffix(name, temporarySuffix) {
			if err := r.removeTemporaryFile(filepath.Join(r.store.options.Dir, name)); err != nil {
				return err
			}
		} else if segment, ok := parseSegmentName(name); ok {
			r.store.segments = append(r.store.segments, segment)
		}
	}
	slices.Sort(r.store.segments)
	return nil
}

// removeTemporaryFile removes the temporary file of an unfinished compaction if repair is
// set.
func (r *recovery) removeTemporaryFile(path string) error {
	if !r.repair {
		return nil
	}
	if err := os.Remove(path); err != nil {
		return fmt.Errorf("store: remove unfinished compaction: %w", err)
	}
	return nil
}

// replaySegment applies the records of a segment up to the first offset without a
// complete record. It reports the rest of the segment, and truncates the segment there if
// repair is set.
func (r *recovery) replaySegment(segment int, isActive bool) error {
	data, err := os.ReadFile(r.store.segmentPath(segment))
	if err != nil {
		return fmt.Errorf("store: read segment: %w", err)
	}
	var offset int64
	for offset < int64(len(data)) {
		rest := data[offset:]
		decoded, size, status := decodeRecord(rest)
		if status != recordComplete {
			r.reportUnreadable(segment, offset, rest, isActive && mayBeUnfinishedWrite(rest, status))
			return r.truncate(segment, offset)
		}
		r.apply(decoded, recordLocation{segment: segment, offset: offset, size: size})
		offset += int64(size)
	}
	return nil
}

// mayBeUnfinishedWrite reports whether the rest of a segment, which does not start with a
// complete record, may be the remains of a write that a crash interrupted: part of a
// record, or space that was allocated but not written.
func mayBeUnfinishedWrite(rest []byte, status decodeStatus) bool {
	return status == recordTruncated || isZero(rest)
}

func isZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}

// reportUnreadable reports the rest of a segment as an unfinished write or as a
// Loss.
func (r *recovery) reportUnreadable(segment int, offset int64, rest []byte, unfinished bool) {
	size := int64(len(rest))
	if unfinished {
		r.recovered.TruncatedBytes = size
		return
	}
	r.recovered.Losses = append(r.recovered.Losses, Loss{Segment: segmentName(segment), Offset: offset, Bytes: size})
}

// truncate truncates a segment at an offset if repair is set, so that the next recovery
// also reads the records that are appended from now on.
func (r *recovery) truncate(segment int, offset int64) error {
	if !r.repair {
		return nil
	}
	if err := os.Truncate(r.store.segmentPath(segment), offset); err != nil {
		return fmt.Errorf("store: truncate segment: %w", err)
	}
	return nil
}

// apply adds a record to the index and to the recovered values.
func (r *recovery) apply(decoded record, location recordLocation) {
	r.store.index.add(decoded, location)
	if decoded.deleted || !decoded.expiresAt.After(r.now) {
		delete(r.recovered.Values, decoded.key)
		return
	}
	r.recovered.Values[decoded.key] = Value{Bytes: decoded.value, ExpiresAt: decoded.expiresAt}
}
