package store

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// SyncPolicy says when a write is durable.
type SyncPolicy int

const (
	// SyncAlways syncs the segment (fsync(2)) after each group of writes, before
	// they are acknowledged: durable through a power loss.
	SyncAlways SyncPolicy = iota
	// SyncNever leaves syncing to the operating system: durable through a crash
	// of the process, not of the machine.
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
	MaxBytes     int64            // bound on the live records on disk; 0 for 64 MiB
	SegmentBytes int64            // a segment is sealed at this size; 0 for 4 MiB
	Now          func() time.Time // the clock that decides expiry; nil for time.Now
	// OnHealth is told, by the writer's goroutine, each time that a write could not be
	// made durable (why; an error that wraps ErrDegraded), and with nil once writes work
	// again. OnMaintenanceError is told why a segment could not be started or compacted,
	// which is tried again. Both must not block; nil for nothing.
	OnHealth           func(error)
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

// Value is a key's value and when it expires.
type Value struct {
	Bytes     []byte
	ExpiresAt time.Time
}

// Store is an open store. Its methods are safe for concurrent use.
type Store struct {
	options Options

	queueMu sync.Mutex
	queue   []pendingWrite
	wake    chan struct{} // tells the writer that the queue is not empty
	closed  bool
	health  health

	indexMu sync.Mutex // held throughout a compaction
	index   recordIndex

	// The writer's goroutine owns these.
	segments    []int // numbers, oldest first; the last is the active one
	active      *os.File
	activeBytes int64
	writerDone  chan struct{}
}

// Open opens the store in a directory, which it creates if it does not exist,
// and recovers what it holds.
func Open(options Options) (*Store, *Recovered, error) {
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

// Put writes a key's value, which expires at the time given. It calls done once:
// with nil when the write is durable, or with the reason why it is not, which is
// ErrFull, ErrClosed, ErrRecordTooLarge, or an I/O error behind ErrDegraded. done may be
// called before Put returns, and must not block. After an I/O error the record may be on
// disk or not.
func (s *Store) Put(key string, value []byte, expiresAt time.Time, done func(error)) {
	s.enqueue(pendingWrite{record{key: key, value: value, expiresAt: expiresAt}, done})
}

// Delete removes a key. It calls done as Put does. It does not wait for writes
// that are still queued: a key whose first Put has not been acknowledged stays.
func (s *Store) Delete(key string, done func(error)) {
	s.indexMu.Lock()
	location, ok := s.index.lookup(key)
	s.indexMu.Unlock()
	if !ok { // no record on disk could bring the key back
		done(nil)
		return
	}
	s.enqueue(pendingWrite{record{key: key, expiresAt: location.retainUntil, deleted: true}, done})
}

// Get returns a key's value, and whether it has one that has not expired. It
// reads the value from disk. A damaged record is reported as a
// *CorruptRecordError.
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
	r, _, result := readRecord(data)
	if result != complete || r.key != key {
		return Value{}, false, &CorruptRecordError{Segment: segmentName(location.segment), Offset: location.offset}
	}
	return Value{Bytes: r.value, ExpiresAt: r.expiresAt}, true, nil
}

// readFileAt reads size bytes of a file.
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

// Len returns the number of keys in the index: those with a value, and deleted
// ones of which an older value is still on disk.
func (s *Store) Len() int {
	s.indexMu.Lock()
	defer s.indexMu.Unlock()
	return s.index.len()
}

// LiveBytes returns the size on disk of the records in the index.
func (s *Store) LiveBytes() int64 { return s.index.liveBytes.Load() }

// Close writes the queued records and closes the store.
func (s *Store) Close() error {
	if alreadyClosed := s.refuseWrites(); alreadyClosed {
		return nil
	}
	close(s.wake)
	<-s.writerDone
	if s.active == nil { // a repair failed
		return nil
	}
	if err := s.active.Close(); err != nil {
		return fmt.Errorf("store: close segment: %w", err)
	}
	return nil
}

// refuseWrites marks the store closed, and reports whether it was before.
func (s *Store) refuseWrites() (alreadyClosed bool) {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	alreadyClosed = s.closed
	s.closed = true
	return alreadyClosed
}
