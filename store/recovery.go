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

// Loss is a place in a segment from which records could not be read.
type Loss struct {
	Segment string // file name
	Offset  int64
	Bytes   int64 // from Offset to the end of the segment
}

func (l Loss) String() string {
	return fmt.Sprintf("%s at %d: %d bytes not read", l.Segment, l.Offset, l.Bytes)
}

// Recovered is what Open and Inspect found in a store's directory.
type Recovered struct {
	Values         map[string]Value // the latest of each key that has not expired
	Losses         []Loss           // none if all was read
	TruncatedBytes int64            // of writes that never finished, cut off
}

// Inspect reads a store's directory as Open would, and changes nothing in it:
// what Open would cut off is only reported. The directory may be in use.
func Inspect(dir string, now time.Time) (*Recovered, error) {
	s := newStore(Options{Dir: dir, Now: func() time.Time { return now }})
	return s.recoverSegments(false)
}

// recovery is one replay of a store's segments into its index. Only with repair
// does it change files.
type recovery struct {
	store     *Store
	repair    bool
	now       time.Time
	recovered *Recovered
}

// recoverSegments replays the segments, oldest first. With repair, it removes
// what an unfinished compaction left, and cuts off what cannot be read.
func (s *Store) recoverSegments(repair bool) (*Recovered, error) {
	r := recovery{
		store:     s,
		repair:    repair,
		now:       s.options.Now(),
		recovered: &Recovered{Values: map[string]Value{}},
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

// findSegments lists the directory's segments in ascending order.
func (r *recovery) findSegments() error {
	entries, err := os.ReadDir(r.store.options.Dir)
	if err != nil && !errors.Is(err, os.ErrNotExist) { // Inspect may look before there is one
		return fmt.Errorf("store: list segments: %w", err)
	}
	for _, entry := range entries {
		name := entry.Name()
		if strings.HasSuffix(name, temporarySuffix) {
			if err := r.removeTemporary(filepath.Join(r.store.options.Dir, name)); err != nil {
				return err
			}
		} else if segment, ok := parseSegmentName(name); ok {
			r.store.segments = append(r.store.segments, segment)
		}
	}
	slices.Sort(r.store.segments)
	return nil
}

// removeTemporary removes the file of a compaction that did not finish.
func (r *recovery) removeTemporary(path string) error {
	if !r.repair {
		return nil
	}
	if err := os.Remove(path); err != nil {
		return fmt.Errorf("store: remove unfinished compaction: %w", err)
	}
	return nil
}

// replaySegment applies the records of a segment, up to the first place that
// holds no complete one.
func (r *recovery) replaySegment(segment int, isActive bool) error {
	data, err := os.ReadFile(r.store.segmentPath(segment))
	if err != nil {
		return fmt.Errorf("store: read segment: %w", err)
	}
	var offset int64
	for offset < int64(len(data)) {
		rest := data[offset:]
		decoded, size, result := readRecord(rest)
		if result != complete {
			r.reportUnreadable(segment, offset, rest, isActive && neverFinished(rest, result))
			return r.truncate(segment, offset)
		}
		r.apply(decoded, recordLocation{segment: segment, offset: offset, size: size})
		offset += int64(size)
	}
	return nil
}

// neverFinished reports whether bytes that hold no complete record may be what a
// crash leaves of a write: a part of a record, or space that was allocated and
// not written.
func neverFinished(rest []byte, result readResult) bool {
	return result == truncated || isZero(rest)
}

func isZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}

// reportUnreadable counts the rest of a segment as an unfinished write or as a
// loss.
func (r *recovery) reportUnreadable(segment int, offset int64, rest []byte, unfinished bool) {
	size := int64(len(rest))
	if unfinished {
		r.recovered.TruncatedBytes = size
		return
	}
	r.recovered.Losses = append(r.recovered.Losses, Loss{Segment: segmentName(segment), Offset: offset, Bytes: size})
}

// truncate cuts a segment off at an offset, so that records written after it are
// read by the next recovery.
func (r *recovery) truncate(segment int, offset int64) error {
	if !r.repair {
		return nil
	}
	if err := os.Truncate(r.store.segmentPath(segment), offset); err != nil {
		return fmt.Errorf("store: truncate segment: %w", err)
	}
	return nil
}

// apply adds a record to the index and to the values recovered.
func (r *recovery) apply(decoded record, location recordLocation) {
	r.store.index.add(decoded, location)
	if decoded.deleted || !decoded.expiresAt.After(r.now) {
		delete(r.recovered.Values, decoded.key)
		return
	}
	r.recovered.Values[decoded.key] = Value{Bytes: decoded.value, ExpiresAt: decoded.expiresAt}
}
