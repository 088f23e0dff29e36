package store

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// SyncPolicy says whether the store syncs a write before it acknowledges it.
type SyncPolicy int

const (
	// SyncAlways syncs the segment (fsync(2)) after each group of writes, before it
	// acknowledges them. Acknowledged writes survive a power loss.
	SyncAlways SyncPolicy = iota
	// SyncNever leaves syncing to the operating system. Acknowledged writes survive
	// a crash of the process, but not of the machine.
	SyncNever
)

// Defaults of Options.
const (
	defaultMaxBytes     = 64 << 20
	defaultSegmentBytes = 4 << 20
)

// Options configure a Store. Dir is required.
type Options struct {
	Dir          string
	Sync         SyncPolicy
	MaxBytes     int64            // limit on the size of the live records on disk; 0 for 64 MiB
	SegmentBytes int64            // size at which a segment is sealed; 0 for 4 MiB
	Now          func() time.Time // the clock that decides expiry; nil for time.Now

	// OnHealth is called by the writer goroutine: with an error that wraps ErrDegraded
	// each time a group of writes could not be made durable, and with nil once the
	// active segment is repaired. It must not block. It may be nil.
	OnHealth func(error)

	// OnMaintenanceError is called by the writer goroutine when it could not start a new
	// segment or compact the sealed ones; the store tries again later. It must not block.
	// It may be nil.
	OnMaintenanceError func(error)
}

func (o Options) withDefaults() Options {
	if o.MaxBytes == 0 {
		o.MaxBytes = defaultMaxBytes
	}
	if o.SegmentBytes == 0 {
		o.SegmentBytes = defaultSegmentBytes
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.OnHealth == nil {
		o.OnHealth = func(error) {}
	}
	if o.OnMaintenanceError == nil {
		o.OnMaintenanceError = func(error) {}
	}
	return o
}

// Value is the value of a key and its expiry time.
type Value struct {
	Bytes     []byte
	ExpiresAt time.Time
}

// Store is an open store. Its methods are safe for concurrent use.
type Store struct {
	options Options

	queueMu sync.Mutex
	queue   []pendingWrite
	wake    chan struct{} // signals the writer that the queue is not empty
	closed  bool
	health  health

	indexMu sync.Mutex // held throughout a compaction
	index   recordIndex

	// Only the writer goroutine uses these, once it is running.
	segments    []int    // segment numbers, oldest first; the last is the active one
	active      *os.File // nil after a failed repair
	activeBytes int64    // size of the active segment's acknowledged records
	writerDone  chan struct{}
}

// Open opens the store in Options.Dir and recovers its records. It creates the
// directory if it does not exist.
func Open(options Options) (*Store, *RecoveredState, error) {
	options = options.withDefaults()
	if err := os.MkdirAll(options.Dir, 0o700); err != nil {
		return nil, nil, fmt.Errorf("store: create directory: %w", err)
	}
	s := newStore(options)
	recovered, err := s.recoverSegments(true)
	if err != nil {
		return nil, nil, err
	}
	if err := s.openActiveSegment(); err != nil {
		return nil, nil, err
	}
	go s.runWriter()
	return s, recovered, nil
}

func newStore(options Options) *Store {
	return &Store{
		options:    options,
		index:      newRecordIndex(),
		wake:       make(chan struct{}, 1),
		writerDone: make(chan struct{}),
	}
}

// Put writes a value for a key; the value expires at expiresAt. Put calls done once: with
// nil when the write is durable, else with an error that wraps ErrFull, ErrClosed,
// ErrRecordTooLarge, or ErrDegraded and an I/O error. done must not block and may be called
// before Put returns. After an I/O error it is unknown whether the record is on disk.
func (s *Store) Put(key string, value []byte, expiresAt time.Time, done func(error)) {
	s.enqueue(pendingWrite{record{key: key, value: value, expiresAt: expiresAt}, done})
}

// Delete removes a key. It calls done as Put does. It does not wait for queued
// writes: if the first Put of the key is not acknowledged yet, Delete calls done
// with nil and the key stays.
func (s *Store) Delete(key string, done func(error)) {
	s.indexMu.Lock()
	location, ok := s.index.lookup(key)
	s.indexMu.Unlock()
	if !ok { // no segment has a record of the key that a recovery could restore
		done(nil)
		return
	}
	s.enqueue(pendingWrite{record{key: key, expiresAt: location.retainUntil, deleted: true}, done})
}

// Get reads the value of a key from disk. It reports whether the key has a value
// that has not expired. For a damaged record the error is a *CorruptRecordError.
func (s *Store) Get(key string) (Value, bool, error) {
	s.indexMu.Lock()
	defer s.indexMu.Unlock()
	location, ok := s.index.lookup(key)
	if !ok || !location.expiresAt.After(s.options.Now()) {
		return Value{}, false, nil
	}
	data, err := readFileAt(s.segmentPath(location.segment), location.offset, location.size)
	if err != nil {
		return Value{}, false, fmt.Errorf("store: read record: %w", err)
	}
	r, _, status := decodeRecord(data)
	if status != recordComplete || r.key != key {
		return Value{}, false, &CorruptRecordError{Segment: segmentName(location.segment), Offset: location.offset}
	}
	return Value{Bytes: r.value, ExpiresAt: r.expiresAt}, true, nil
}

// readFileAt reads size bytes of a file at an offset.
func readFileAt(path string, offset int64, size int) (data []byte, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	data = make([]byte, size)
	_, err = f.ReadAt(data, offset)
	return data, err
}

// Len returns the number of keys in the index. It includes deleted and expired keys
// whose latest record must still be retained or has not been compacted away.
func (s *Store) Len() int {
	s.indexMu.Lock()
	defer s.indexMu.Unlock()
	return s.index.len()
}

// LiveBytes returns the total size on disk of the records that the index points at.
func (s *Store) LiveBytes() int64 { return s.index.liveBytes.Load() }

// Close writes the queued records and closes the store. Further calls have no effect.
func (s *Store) Close() error {
	if alreadyClosed := s.markClosed(); alreadyClosed {
		return nil
	}
	close(s.wake)
	<-s.writerDone
	if s.active == nil { // the last repair failed
		return nil
	}
	if err := s.active.Close(); err != nil {
		return fmt.Errorf("store: close segment: %w", err)
	}
	return nil
}

// markClosed marks the store closed and reports whether it already was.
func (s *Store) markClosed() (alreadyClosed bool) {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	alreadyClosed = s.closed
	s.closed = true
	return alreadyClosed
}
