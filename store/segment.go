package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

const (
	segmentSuffix   = ".log"
	temporarySuffix = ".tmp" // appended to a segment name while a compaction writes the segment

	segmentFileMode = 0o600
)

func segmentName(segment int) string { return fmt.Sprintf("%08d%s", segment, segmentSuffix) }

// parseSegmentName returns the number of a segment from its file name.
func parseSegmentName(name string) (segment int, ok bool) {
	digits, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok {
		return 0, false
	}
	segment, err := strconv.Atoi(digits)
	return segment, err == nil && segmentName(segment) == name
}

func (s *Store) segmentPath(segment int) string {
	return filepath.Join(s.options.Dir, segmentName(segment))
}

func (s *Store) activeSegment() int { return s.segments[len(s.segments)-1] }

// sealedSegments returns all segments except the active one.
func (s *Store) sealedSegments() []int { return s.segments[:len(s.segments)-1] }

// openActiveSegment opens the newest segment for appending. If the directory has no
// segment, it creates the first one.
func (s *Store) openActiveSegment() error {
	if len(s.segments) == 0 {
		s.segments = []int{1}
	}
	f, size, err := s.openForAppend(s.activeSegment())
	if err != nil {
		return err
	}
	s.active, s.activeBytes = f, size
	return nil
}

// startSegment seals the active segment and starts the next one.
func (s *Store) startSegment() error {
	next := s.activeSegment() + 1
	f, size, err := s.openForAppend(next)
	if err != nil {
		return err
	}
	sealed := s.active
	s.active, s.activeBytes = f, size
	s.segments = append(s.segments, next)
	_ = sealed.Close() // its records were already synced if the SyncPolicy requires it
	return nil
}

// openForAppend opens a segment for appending and returns its size. It creates the
// file if it does not exist.
func (s *Store) openForAppend(segment int) (*os.File, int64, error) {
	f, err := os.OpenFile(s.segmentPath(segment), os.O_CREATE|os.O_WRONLY|os.O_APPEND, segmentFileMode)
	if err != nil {
		return nil, 0, fmt.Errorf("store: open segment: %w", err)
	}
	info, err := f.Stat()
	if err != nil {
		return nil, 0, fmt.Errorf("store: open segment: %w", errors.Join(err, f.Close()))
	}
	if err := syncDirectory(s.options.Dir); err != nil {
		return nil, 0, errors.Join(err, f.Close())
	}
	return f, info.Size(), nil
}

// syncDirectory syncs a directory, so that files created, renamed or removed in it stay so
// after a power loss.
func syncDirectory(path string) (err error) {
	d, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("store: sync directory: %w", err)
	}
	defer func() { err = errors.Join(err, d.Close()) }()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("store: sync directory: %w", err)
	}
	return nil
}

// writeFileDurably writes a file and syncs it.
func writeFileDurably(path string, data []byte) (err error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, segmentFileMode)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	if _, err := f.Write(data); err != nil {
		return err
	}
	return f.Sync()
}
