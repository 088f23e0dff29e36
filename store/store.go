// Package store is an embedded log of keys and values with an index, for what
// must outlive the process: the keys of requests that ran, and their results.
// It does no network I/O; it writes its own folder only.
//
// Values go to the end of the newest segment file (NNNNNNNN.log); an index in
// memory keeps, for each key, where its latest value lies and when it expires.
// A value that expires, or a deletion, is dropped by compaction, which writes
// the live values of the sealed segments to a new file, makes it durable,
// renames it over the last of them and then removes the others: a crash at
// any step leaves either the old segments or the new one in force, and
// replaying both gives the same.
//
// Writes are grouped: one goroutine writes all that has come, then syncs the
// file (fsync(2)) where the options ask for it, then tells each writer. A value
// is durable when its done function is called without an error.
//
// Recovery reads the segments in order. A record cut short at the end of the
// last file is a write that never finished: the file is truncated there. A
// record that fails its CRC though all its bytes are there, or one cut short in
// an earlier file, is a loss: what follows in its segment is not trusted and is
// cut off, and Recovered.Losses says where it was, once, so that the caller
// treats what the store does not know as unknown, not as never written (and
// records that itself, if it must outlive a further crash).
package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// SyncPolicy says when a write is durable.
type SyncPolicy int

// The policies.
const (
	// SyncAlways syncs the file after each group of writes, before they are
	// acknowledged: durable through a power loss.
	SyncAlways SyncPolicy = iota
	// SyncNever leaves it to the system: durable through a crash of the
	// process, not of the machine.
	SyncNever
)

// Options are what a store is opened with. Dir is required.
type Options struct {
	Dir          string
	Sync         SyncPolicy
	MaxBytes     int64            // of live records on disk; a write beyond is refused with ErrFull. 0 for 64 MiB
	SegmentBytes int64            // a segment is sealed at this size; 0 for 4 MiB
	Now          func() time.Time // the clock that expiry is judged by; nil for time.Now
}

// ErrFull is given for a write that would take the live records over MaxBytes.
var ErrFull = errors.New("store: full")

// ErrClosed is given for a write after Close.
var ErrClosed = errors.New("store: closed")

// Loss is a place where records could not be read.
type Loss struct {
	Segment string // file name
	Offset  int64
	Bytes   int64 // from there to the segment's end, not read
}

func (l Loss) String() string {
	return fmt.Sprintf("%s at %d: %d bytes not read", l.Segment, l.Offset, l.Bytes)
}

// Recovered is what Open found.
type Recovered struct {
	Values         map[string]Value // the latest of each key that has not expired
	Losses         []Loss           // none if all was read
	TruncatedBytes int64            // bytes of writes that never finished, cut off
}

// Value is a key's value and when it expires.
type Value struct {
	Bytes     []byte
	ExpiresAt time.Time
}

// recordLocation is where a key's latest record lies.
type recordLocation struct {
	segment     int
	offset      int64
	size        int
	expiresAt   time.Time // of its value; the zero time where it is a deletion
	retainUntil time.Time // until when the record must stay: it hides older ones until they expire
}

// Store is an open store. Its methods are safe for concurrent use. Put and
// Delete never wait for I/O: the writer's goroutine does it.
type Store struct {
	options Options

	queueMu sync.Mutex // for what writers hand in
	queue   []pendingWrite
	wake    chan struct{}
	closed  bool
	failure error // of a write or a compaction, which stops all after it

	indexMu   sync.Mutex // for the index, held while a compaction moves it
	index     map[string]recordLocation
	live      int64        // bytes of the records that the index points at
	liveBytes atomic.Int64 // the same, for Put, which must not wait for a compaction

	// The writer's goroutine alone has these.
	segments    []int // numbers, oldest first; the last is written to
	active      *os.File
	activeBytes int64 // of the last segment
	writerDone  chan struct{}
}

// pendingWrite is a record that waits for the writer.
type pendingWrite struct {
	record record
	done   func(error)
}

// Open opens the store in a folder, making it if need be, and recovers what it
// holds.
func Open(opt Options) (*Store, *Recovered, error) {
	if opt.MaxBytes == 0 {
		opt.MaxBytes = 64 << 20
	}
	if opt.SegmentBytes == 0 {
		opt.SegmentBytes = 4 << 20
	}
	if opt.Now == nil {
		opt.Now = time.Now
	}
	if err := os.MkdirAll(opt.Dir, 0o700); err != nil {
		return nil, nil, fmt.Errorf("store: %w", err)
	}
	s := &Store{options: opt, index: map[string]recordLocation{}, wake: make(chan struct{}, 1), writerDone: make(chan struct{})}
	rec, err := s.recoverSegments(true)
	if err != nil {
		return nil, nil, err
	}
	if err := s.openActiveSegment(); err != nil {
		return nil, nil, err
	}
	go s.runWriter()
	return s, rec, nil
}

func segmentName(n int) string { return fmt.Sprintf("%08d.log", n) }

// Inspect reads a store's folder as Open would, and changes nothing in it: what
// Open would cut off is counted, not cut. The folder may be in use.
func Inspect(dir string, now time.Time) (*Recovered, error) {
	s := &Store{options: Options{Dir: dir, Now: func() time.Time { return now }}, index: map[string]recordLocation{}}
	return s.recoverSegments(false)
}

// recoverSegments reads the segments, builds the index and gives the values. With
// repair, it removes what a compaction left, and cuts off what can't be read.
func (s *Store) recoverSegments(repair bool) (*Recovered, error) {
	names, err := filepath.Glob(filepath.Join(s.options.Dir, "*"))
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	for _, name := range names {
		base := filepath.Base(name)
		var n int
		if strings.HasSuffix(base, ".tmp") { // a compaction that did not finish
			if err := s.repair(repair, func() error { return os.Remove(name) }); err != nil {
				return nil, err
			}
		} else if _, err := fmt.Sscanf(base, "%08d.log", &n); err == nil && segmentName(n) == base {
			s.segments = append(s.segments, n)
		}
	}
	sort.Ints(s.segments)
	rec := &Recovered{Values: map[string]Value{}}
	now := s.options.Now()
	for i, n := range s.segments {
		path := filepath.Join(s.options.Dir, segmentName(n))
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("store: %w", err)
		}
		var offset int64
		for offset < int64(len(b)) {
			r, size, what := readRecord(b[offset:])
			if what == corrupt && isZero(b[offset:]) { // space that a crash left unwritten
				what = truncated
			}
			if what == truncated && i == len(s.segments)-1 {
				rec.TruncatedBytes = int64(len(b)) - offset
				if err := s.repair(repair, func() error { return os.Truncate(path, offset) }); err != nil {
					return nil, err
				}
				break
			}
			if what != complete { // reported once: the rest is cut off, so that what comes after is read
				rec.Losses = append(rec.Losses, Loss{Segment: segmentName(n), Offset: offset, Bytes: int64(len(b)) - offset})
				if err := s.repair(repair, func() error { return os.Truncate(path, offset) }); err != nil {
					return nil, err
				}
				break
			}
			s.addToIndex(r, recordLocation{segment: n, offset: offset, size: size})
			if r.deleted || !r.expiresAt.After(now) {
				delete(rec.Values, r.key)
			} else {
				rec.Values[r.key] = Value{Bytes: r.value, ExpiresAt: r.expiresAt}
			}
			offset += int64(size)
		}
	}
	for key, p := range s.index { // what need not stay is not live
		if !p.retainUntil.After(now) {
			s.removeFromIndex(key)
		}
	}
	return rec, nil
}

// repair does what recovery must change on disk, where it may.
func (s *Store) repair(may bool, change func() error) error {
	if !may {
		return nil
	}
	if err := change(); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

func isZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}

// addToIndex puts a record at its place in the index, keeping it as long as what
// it hides.
func (s *Store) addToIndex(r record, p recordLocation) {
	p.retainUntil = r.expiresAt
	if old, ok := s.index[r.key]; ok && old.retainUntil.After(p.retainUntil) {
		p.retainUntil = old.retainUntil
	}
	if !r.deleted {
		p.expiresAt = r.expiresAt
	}
	s.removeFromIndex(r.key)
	s.index[r.key] = p
	s.live += int64(p.size)
	s.liveBytes.Store(s.live)
}

func (s *Store) removeFromIndex(key string) {
	if old, ok := s.index[key]; ok {
		s.live -= int64(old.size)
		s.liveBytes.Store(s.live)
		delete(s.index, key)
	}
}

// openActiveSegment opens the newest segment for writing, a new one where there is none.
func (s *Store) openActiveSegment() error {
	if len(s.segments) == 0 {
		s.segments = []int{1}
	}
	path := filepath.Join(s.options.Dir, segmentName(s.segments[len(s.segments)-1]))
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	info, err := f.Stat()
	if err != nil {
		f.Close()
		return fmt.Errorf("store: %w", err)
	}
	s.active, s.activeBytes = f, info.Size()
	return syncDirectory(s.options.Dir)
}

// syncDirectory makes the names in a folder durable.
func syncDirectory(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// Put writes a key's value, which expires at a time; done is told once the
// write is durable, or why it is not (ErrFull, ErrClosed, an I/O error). done
// must not block.
func (s *Store) Put(key string, value []byte, expires time.Time, done func(error)) {
	s.enqueue(record{key: key, value: value, expiresAt: expires}, done)
}

// Delete takes a key out; done as for Put.
func (s *Store) Delete(key string, done func(error)) {
	s.indexMu.Lock()
	p, ok := s.index[key]
	s.indexMu.Unlock()
	if !ok { // nothing of it is on disk that could come back
		done(nil)
		return
	}
	s.enqueue(record{key: key, expiresAt: p.retainUntil, deleted: true}, done)
}

func (s *Store) enqueue(r record, done func(error)) {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	switch {
	case s.closed:
		done(ErrClosed)
		return
	case s.failure != nil:
		done(s.failure)
		return
	case s.liveBytes.Load()+int64(headerSize+payloadFixedSize+len(r.key)+len(r.value)) > s.options.MaxBytes:
		done(ErrFull)
		return
	}
	s.queue = append(s.queue, pendingWrite{r, done})
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Get gives a key's value, if it has one that has not expired. It reads it from
// disk: the index holds places, not values.
func (s *Store) Get(key string) (Value, bool, error) {
	s.indexMu.Lock()
	defer s.indexMu.Unlock()
	p, ok := s.index[key]
	if !ok || p.expiresAt.IsZero() || !p.expiresAt.After(s.options.Now()) {
		return Value{}, false, nil
	}
	b := make([]byte, p.size)
	f, err := os.Open(filepath.Join(s.options.Dir, segmentName(p.segment)))
	if err != nil {
		return Value{}, false, fmt.Errorf("store: %w", err)
	}
	defer f.Close()
	if _, err := f.ReadAt(b, p.offset); err != nil {
		return Value{}, false, fmt.Errorf("store: %w", err)
	}
	r, _, what := readRecord(b)
	if what != complete || r.key != key {
		return Value{}, false, fmt.Errorf("store: %s at %d: the record is not whole", segmentName(p.segment), p.offset)
	}
	return Value{Bytes: r.value, ExpiresAt: r.expiresAt}, true, nil
}

// Len is the number of keys that the index holds: with a value, or deleted
// while an older value could come back.
func (s *Store) Len() int {
	s.indexMu.Lock()
	defer s.indexMu.Unlock()
	return len(s.index)
}

// LiveBytes is the number of bytes of the records that the index points at.
func (s *Store) LiveBytes() int64 { return s.liveBytes.Load() }

// Close writes what waits, and closes the store.
func (s *Store) Close() error {
	s.queueMu.Lock()
	if s.closed {
		s.queueMu.Unlock()
		return nil
	}
	s.closed = true
	s.queueMu.Unlock()
	close(s.wake)
	<-s.writerDone
	return s.active.Close()
}

// runWriter writes what comes, a group at a time, until Close.
func (s *Store) runWriter() {
	defer close(s.writerDone)
	var buf []byte
	for range s.wake {
		s.flush(&buf)
	}
	s.flush(&buf)
}

// flush writes the queue as one group, syncs, and tells the writers.
func (s *Store) flush(buf *[]byte) {
	s.queueMu.Lock()
	group := s.queue
	s.queue = nil
	s.queueMu.Unlock()
	if len(group) == 0 {
		return
	}
	*buf = (*buf)[:0]
	places := make([]recordLocation, len(group))
	var err error
	for i, w := range group {
		start := len(*buf)
		if *buf, err = appendRecord(*buf, w.record); err != nil {
			w.done(err)
			group[i].done = nil
			continue
		}
		places[i] = recordLocation{segment: s.segments[len(s.segments)-1], offset: s.activeBytes + int64(start), size: len(*buf) - start}
	}
	if _, err = s.active.Write(*buf); err == nil && s.options.Sync == SyncAlways {
		err = s.active.Sync()
	}
	if err == nil {
		s.activeBytes += int64(len(*buf))
		s.indexMu.Lock()
		for i, w := range group {
			if w.done != nil {
				s.addToIndex(w.record, places[i])
			}
		}
		s.indexMu.Unlock()
	} else {
		s.fail(err) // a write that may be half done stops all after it
	}
	seal := err == nil && s.activeBytes >= s.options.SegmentBytes
	for _, w := range group {
		if w.done != nil {
			w.done(s.wrap(err))
		}
	}
	if seal {
		s.seal()
	}
}

// fail has all writes refused from now on, with the error.
func (s *Store) fail(err error) {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	if s.failure == nil {
		s.failure = fmt.Errorf("store: %w", err)
	}
}

func (s *Store) wrap(err error) error {
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// seal starts a new segment, and compacts the sealed ones where most of what
// they hold is dead.
func (s *Store) seal() {
	if err := s.startSegment(); err != nil {
		s.fail(err)
		return
	}
	s.indexMu.Lock()
	defer s.indexMu.Unlock()
	sealed := s.segments[:len(s.segments)-1]
	if on := int64(len(sealed)) * s.options.SegmentBytes; on > 2*s.live {
		if err := s.compact(sealed); err != nil {
			s.fail(err)
		}
	}
}

// startSegment starts the next segment.
func (s *Store) startSegment() error {
	next := s.segments[len(s.segments)-1] + 1
	f, err := os.OpenFile(filepath.Join(s.options.Dir, segmentName(next)), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err == nil {
		err = syncDirectory(s.options.Dir)
	}
	if err != nil {
		return err
	}
	s.active.Close()
	s.active, s.activeBytes = f, 0
	s.segments = append(s.segments, next)
	return nil
}

// compact writes the live records of the sealed segments into one file, which
// takes the place of the last of them, and removes the others. It is called
// with the index's lock held: Get waits meanwhile, Put does not, and the
// writer's next group does.
func (s *Store) compact(sealed []int) error {
	last := sealed[len(sealed)-1]
	tmp := filepath.Join(s.options.Dir, segmentName(last)+".tmp")
	keys := make([]string, 0, len(s.index))
	for key, p := range s.index {
		if slices.Contains(sealed, p.segment) {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(i, j int) bool { // in the order in which they were written
		a, b := s.index[keys[i]], s.index[keys[j]]
		return a.segment < b.segment || a.segment == b.segment && a.offset < b.offset
	})
	now := s.options.Now()
	var out []byte
	moved := map[string]recordLocation{}
	files := map[int]*os.File{}
	defer func() {
		for _, f := range files {
			f.Close()
		}
	}()
	for _, key := range keys {
		p := s.index[key]
		if !p.retainUntil.After(now) {
			continue
		}
		f := files[p.segment]
		if f == nil {
			var err error
			if f, err = os.Open(filepath.Join(s.options.Dir, segmentName(p.segment))); err != nil {
				return fmt.Errorf("store: compaction: %w", err)
			}
			files[p.segment] = f
		}
		b := make([]byte, p.size)
		if _, err := f.ReadAt(b, p.offset); err != nil {
			return fmt.Errorf("store: compaction: %w", err)
		}
		moved[key] = recordLocation{segment: last, offset: int64(len(out)), size: p.size, expiresAt: p.expiresAt, retainUntil: p.retainUntil}
		out = append(out, b...)
	}
	if err := writeFileDurably(tmp, out); err != nil {
		return err
	}
	if err := os.Rename(tmp, filepath.Join(s.options.Dir, segmentName(last))); err != nil {
		return fmt.Errorf("store: compaction: %w", err)
	}
	if err := syncDirectory(s.options.Dir); err != nil {
		return err
	}
	for _, n := range sealed[:len(sealed)-1] {
		if err := os.Remove(filepath.Join(s.options.Dir, segmentName(n))); err != nil {
			return fmt.Errorf("store: compaction: %w", err)
		}
	}
	for key, p := range s.index {
		if slices.Contains(sealed, p.segment) {
			if q, ok := moved[key]; ok {
				s.index[key] = q
			} else {
				s.removeFromIndex(key)
			}
		}
	}
	s.segments = append([]int{last}, s.segments[len(sealed):]...)
	return syncDirectory(s.options.Dir)
}

// writeFileDurably writes a file whole and syncs it.
func writeFileDurably(path string, b []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}
