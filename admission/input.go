package admission

import (
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"
)

const (
	// inputFraction bounds the bodies that are being read: they may use 1/inputFraction of
	// Config.Memory.
	inputFraction = 8

	// minBodyBytes is the size up to which a body is read even if that memory is used up.
	minBodyBytes = 4 << 10

	// headerFieldBytes is the memory for a field of a request's header beside its bytes.
	headerFieldBytes = 64

	// inputLogInterval is the least time between two log events about that memory.
	inputLogInterval = time.Second
)

// errInputMemory reports a request whose body is not read (any further), because other bodies
// use all memory for input.
var errInputMemory = errors.New("no memory is left for request bodies")

// inputMemory bounds the memory of the request bodies that are being read. If it is used up, the
// bodies that have been incomplete for the longest time are not read any further.
type inputMemory struct {
	capacity int64
	log      *slog.Logger

	mu       sync.Mutex
	used     int64
	reading  map[*bodyRead]struct{}
	loggedAt time.Time
}

// bodyRead is a body that is being read.
type bodyRead struct {
	size      int64
	startedAt time.Time
	interrupt func() error // makes the read fail
	reclaimed bool         // its read was interrupted in favour of another
}

func newInputMemory(memory int64, log *slog.Logger) *inputMemory {
	return &inputMemory{capacity: memory / inputFraction, log: log, reading: make(map[*bodyRead]struct{})}
}

// begin reserves memory for a body of at most size bytes. It returns nil for a small one, which
// needs no reservation, and errInputMemory if there is no memory left. The caller must call end.
func (m *inputMemory) begin(w http.ResponseWriter, size int64) (*bodyRead, error) {
	if size <= minBodyBytes {
		return nil, nil
	}
	controller := http.NewResponseController(w)
	read := &bodyRead{size: size, startedAt: time.Now()}
	read.interrupt = func() error { return controller.SetReadDeadline(time.Unix(1, 0)) }
	m.mu.Lock()
	defer m.mu.Unlock()
	for m.used+size > m.capacity {
		m.logExhaustedLocked()
		if !m.reclaimOldestLocked() {
			return nil, errInputMemory
		}
	}
	m.used += size
	m.reading[read] = struct{}{}
	return read, nil
}

// reclaimOldestLocked interrupts the read of the body that has been incomplete for the longest
// time. It returns false if there is none that can be interrupted. The caller holds mu.
func (m *inputMemory) reclaimOldestLocked() bool {
	var oldest *bodyRead
	for read := range m.reading {
		if oldest == nil || read.startedAt.Before(oldest.startedAt) {
			oldest = read
		}
	}
	if oldest == nil || oldest.interrupt() != nil {
		return false
	}
	oldest.reclaimed = true
	m.removeLocked(oldest)
	return true
}

// logExhaustedLocked logs that the memory is used up. The caller holds mu.
func (m *inputMemory) logExhaustedLocked() {
	if time.Since(m.loggedAt) >= inputLogInterval {
		m.loggedAt = time.Now()
		m.log.Warn("input_memory_exhausted", "bodies", len(m.reading), "used_bytes", m.used, "limit_bytes", m.capacity)
	}
}

// removeLocked gives a reservation back. The caller holds mu.
func (m *inputMemory) removeLocked(read *bodyRead) {
	if _, ok := m.reading[read]; ok {
		delete(m.reading, read)
		m.used -= read.size
	}
}

// end gives back the reservation of a body that was read, or failed to with err. It returns
// errInputMemory instead of err if the read was interrupted in favour of another.
func (m *inputMemory) end(read *bodyRead, err error) error {
	if read == nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeLocked(read)
	if read.reclaimed { // even if the body is whole: the read deadline has passed for what follows
		return errInputMemory
	}
	return err
}

// requestKB returns the memory that a request takes while it waits, in KB: its body and the
// fields of its header.
func requestKB(r *http.Request, body []byte) float64 {
	size := len(body)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerFieldBytes
		}
	}
	return requestOverheadKB + float64(size)/bytesPerKB
}
