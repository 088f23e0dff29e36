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

// place is where a key's latest record lies.
type place struct {
	segment int
	offset  int64
	size    int
	expires time.Time // of its value; the zero time where it is a deletion
	keep    time.Time // until when the record must stay: it hides older ones until they expire
}

// Store is an open store. Its methods are safe for concurrent use. Put and
// Delete never wait for I/O: the writer's goroutine does it.
type Store struct {
	opt Options

	mu     sync.Mutex // for what writers hand in
	queue  []write
	wake   chan struct{}
	closed bool
	err    error // of a write or a compaction, which stops all after it

	ix        sync.Mutex // for the index, held while a compaction moves it
	index     map[string]place
	live      int64        // bytes of the records that the index points at
	liveBytes atomic.Int64 // the same, for Put, which must not wait for a compaction

	// The writer's goroutine alone has these.
	segments []int // numbers, oldest first; the last is written to
	file     *os.File
	size     int64 // of the last segment
	done     chan struct{}
}

// write is a record that waits for the writer.
type write struct {
	r    record
	done func(error)
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
	s := &Store{opt: opt, index: map[string]place{}, wake: make(chan struct{}, 1), done: make(chan struct{})}
	rec, err := s.recover(true)
	if err != nil {
		return nil, nil, err
	}
	if err := s.openLast(); err != nil {
		return nil, nil, err
	}
	go s.writer()
	return s, rec, nil
}

func segmentName(n int) string { return fmt.Sprintf("%08d.log", n) }

// Inspect reads a store's folder as Open would, and changes nothing in it: what
// Open would cut off is counted, not cut. The folder may be in use.
func Inspect(dir string, now time.Time) (*Recovered, error) {
	s := &Store{opt: Options{Dir: dir, Now: func() time.Time { return now }}, index: map[string]place{}}
	return s.recover(false)
}

// recover reads the segments, builds the index and gives the values. With
// repair, it removes what a compaction left, and cuts off what can't be read.
func (s *Store) recover(repair bool) (*Recovered, error) {
	names, err := filepath.Glob(filepath.Join(s.opt.Dir, "*"))
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
	now := s.opt.Now()
	for i, n := range s.segments {
		path := filepath.Join(s.opt.Dir, segmentName(n))
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("store: %w", err)
		}
		var offset int64
		for offset < int64(len(b)) {
			r, size, what := readRecord(b[offset:])
			if what == corrupt && allZero(b[offset:]) { // space that a crash left unwritten
				what = cut
			}
			if what == cut && i == len(s.segments)-1 {
				rec.TruncatedBytes = int64(len(b)) - offset
				if err := s.repair(repair, func() error { return os.Truncate(path, offset) }); err != nil {
					return nil, err
				}
				break
			}
			if what != whole { // reported once: the rest is cut off, so that what comes after is read
				rec.Losses = append(rec.Losses, Loss{Segment: segmentName(n), Offset: offset, Bytes: int64(len(b)) - offset})
				if err := s.repair(repair, func() error { return os.Truncate(path, offset) }); err != nil {
					return nil, err
				}
				break
			}
			s.apply(r, place{segment: n, offset: offset, size: size})
			if r.deleted || !r.expires.After(now) {
				delete(rec.Values, r.key)
			} else {
				rec.Values[r.key] = Value{Bytes: r.value, ExpiresAt: r.expires}
			}
			offset += int64(size)
		}
	}
	for key, p := range s.index { // what need not stay is not live
		if !p.keep.After(now) {
			s.forget(key)
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

func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}

// apply puts a record at its place in the index, keeping it as long as what
// it hides.
func (s *Store) apply(r record, p place) {
	p.keep = r.expires
	if old, ok := s.index[r.key]; ok && old.keep.After(p.keep) {
		p.keep = old.keep
	}
	if !r.deleted {
		p.expires = r.expires
	}
	s.forget(r.key)
	s.index[r.key] = p
	s.live += int64(p.size)
	s.liveBytes.Store(s.live)
}

func (s *Store) forget(key string) {
	if old, ok := s.index[key]; ok {
		s.live -= int64(old.size)
		s.liveBytes.Store(s.live)
		delete(s.index, key)
	}
}

// openLast opens the newest segment for writing, a new one where there is none.
func (s *Store) openLast() error {
	if len(s.segments) == 0 {
		s.segments = []int{1}
	}
	path := filepath.Join(s.opt.Dir, segmentName(s.segments[len(s.segments)-1]))
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	info, err := f.Stat()
	if err != nil {
		f.Close()
		return fmt.Errorf("store: %w", err)
	}
	s.file, s.size = f, info.Size()
	return syncDir(s.opt.Dir)
}

// syncDir makes the names in a folder durable.
func syncDir(dir string) error {
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
	s.put(record{key: key, value: value, expires: expires}, done)
}

// Delete takes a key out; done as for Put.
func (s *Store) Delete(key string, done func(error)) {
	s.ix.Lock()
	p, ok := s.index[key]
	s.ix.Unlock()
	if !ok { // nothing of it is on disk that could come back
		done(nil)
		return
	}
	s.put(record{key: key, expires: p.keep, deleted: true}, done)
}

func (s *Store) put(r record, done func(error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed:
		done(ErrClosed)
		return
	case s.err != nil:
		done(s.err)
		return
	case s.liveBytes.Load()+int64(headerSize+fixed+len(r.key)+len(r.value)) > s.opt.MaxBytes:
		done(ErrFull)
		return
	}
	s.queue = append(s.queue, write{r, done})
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Get gives a key's value, if it has one that has not expired. It reads it from
// disk: the index holds places, not values.
func (s *Store) Get(key string) (Value, bool, error) {
	s.ix.Lock()
	defer s.ix.Unlock()
	p, ok := s.index[key]
	if !ok || p.expires.IsZero() || !p.expires.After(s.opt.Now()) {
		return Value{}, false, nil
	}
	b := make([]byte, p.size)
	f, err := os.Open(filepath.Join(s.opt.Dir, segmentName(p.segment)))
	if err != nil {
		return Value{}, false, fmt.Errorf("store: %w", err)
	}
	defer f.Close()
	if _, err := f.ReadAt(b, p.offset); err != nil {
		return Value{}, false, fmt.Errorf("store: %w", err)
	}
	r, _, what := readRecord(b)
	if what != whole || r.key != key {
		return Value{}, false, fmt.Errorf("store: %s at %d: the record is not whole", segmentName(p.segment), p.offset)
	}
	return Value{Bytes: r.value, ExpiresAt: r.expires}, true, nil
}

// Len is the number of keys that the index holds: with a value, or deleted
// while an older value could come back.
func (s *Store) Len() int {
	s.ix.Lock()
	defer s.ix.Unlock()
	return len(s.index)
}

// LiveBytes is the number of bytes of the records that the index points at.
func (s *Store) LiveBytes() int64 { return s.liveBytes.Load() }

// Close writes what waits, and closes the store.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	s.mu.Unlock()
	close(s.wake)
	<-s.done
	return s.file.Close()
}

// writer writes what comes, a group at a time, until Close.
func (s *Store) writer() {
	defer close(s.done)
	var buf []byte
	for range s.wake {
		s.flush(&buf)
	}
	s.flush(&buf)
}

// flush writes the queue as one group, syncs, and tells the writers.
func (s *Store) flush(buf *[]byte) {
	s.mu.Lock()
	group := s.queue
	s.queue = nil
	s.mu.Unlock()
	if len(group) == 0 {
		return
	}
	*buf = (*buf)[:0]
	places := make([]place, len(group))
	var err error
	for i, w := range group {
		start := len(*buf)
		if *buf, err = appendRecord(*buf, w.r); err != nil {
			w.done(err)
			group[i].done = nil
			continue
		}
		places[i] = place{segment: s.segments[len(s.segments)-1], offset: s.size + int64(start), size: len(*buf) - start}
	}
	if _, err = s.file.Write(*buf); err == nil && s.opt.Sync == SyncAlways {
		err = s.file.Sync()
	}
	if err == nil {
		s.size += int64(len(*buf))
		s.ix.Lock()
		for i, w := range group {
			if w.done != nil {
				s.apply(w.r, places[i])
			}
		}
		s.ix.Unlock()
	} else {
		s.stop(err) // a write that may be half done stops all after it
	}
	seal := err == nil && s.size >= s.opt.SegmentBytes
	for _, w := range group {
		if w.done != nil {
			w.done(s.wrap(err))
		}
	}
	if seal {
		s.seal()
	}
}

// stop has all writes refused from now on, with the error.
func (s *Store) stop(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = fmt.Errorf("store: %w", err)
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
	if err := s.newSegment(); err != nil {
		s.stop(err)
		return
	}
	s.ix.Lock()
	defer s.ix.Unlock()
	sealed := s.segments[:len(s.segments)-1]
	if on := int64(len(sealed)) * s.opt.SegmentBytes; on > 2*s.live {
		if err := s.compact(sealed); err != nil {
			s.stop(err)
		}
	}
}

// newSegment starts the next segment.
func (s *Store) newSegment() error {
	next := s.segments[len(s.segments)-1] + 1
	f, err := os.OpenFile(filepath.Join(s.opt.Dir, segmentName(next)), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err == nil {
		err = syncDir(s.opt.Dir)
	}
	if err != nil {
		return err
	}
	s.file.Close()
	s.file, s.size = f, 0
	s.segments = append(s.segments, next)
	return nil
}

// compact writes the live records of the sealed segments into one file, which
// takes the place of the last of them, and removes the others. It is called
// with the index's lock held: Get waits meanwhile, Put does not, and the
// writer's next group does.
func (s *Store) compact(sealed []int) error {
	last := sealed[len(sealed)-1]
	tmp := filepath.Join(s.opt.Dir, segmentName(last)+".tmp")
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
	now := s.opt.Now()
	var out []byte
	moved := map[string]place{}
	files := map[int]*os.File{}
	defer func() {
		for _, f := range files {
			f.Close()
		}
	}()
	for _, key := range keys {
		p := s.index[key]
		if !p.keep.After(now) {
			continue
		}
		f := files[p.segment]
		if f == nil {
			var err error
			if f, err = os.Open(filepath.Join(s.opt.Dir, segmentName(p.segment))); err != nil {
				return fmt.Errorf("store: compaction: %w", err)
			}
			files[p.segment] = f
		}
		b := make([]byte, p.size)
		if _, err := f.ReadAt(b, p.offset); err != nil {
			return fmt.Errorf("store: compaction: %w", err)
		}
		moved[key] = place{segment: last, offset: int64(len(out)), size: p.size, expires: p.expires, keep: p.keep}
		out = append(out, b...)
	}
	if err := writeDurably(tmp, out); err != nil {
		return err
	}
	if err := os.Rename(tmp, filepath.Join(s.opt.Dir, segmentName(last))); err != nil {
		return fmt.Errorf("store: compaction: %w", err)
	}
	if err := syncDir(s.opt.Dir); err != nil {
		return err
	}
	for _, n := range sealed[:len(sealed)-1] {
		if err := os.Remove(filepath.Join(s.opt.Dir, segmentName(n))); err != nil {
			return fmt.Errorf("store: compaction: %w", err)
		}
	}
	for key, p := range s.index {
		if slices.Contains(sealed, p.segment) {
			if q, ok := moved[key]; ok {
				s.index[key] = q
			} else {
				s.forget(key)
			}
		}
	}
	s.segments = append([]int{last}, s.segments[len(sealed):]...)
	return syncDir(s.opt.Dir)
}

// writeDurably writes a file whole and syncs it.
func writeDurably(path string, b []byte) error {
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
