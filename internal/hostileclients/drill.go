// Package hostileclients measures what hostile clients do to an app server: how much memory its
// process needs, and how the requests of other clients are answered meanwhile.
package hostileclients

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"quincerail.example/quincerail/internal/fakes"
)

// Port is a listener of a server.
type Port int

// The listeners.
const (
	ThriftPort Port = iota
	UWSGIPort
	ControlPort
	LibraryPort // of the library's sample service
	RaftPort    // of the fleet's voters
	GossipPort  // of the fleet's membership
)

// String returns the name of the listener in reports.
func (p Port) String() string {
	return [...]string{"thrift", "uwsgi", "control", "library", "raft", "gossip"}[p]
}

// Server is a running server under test.
type Server struct {
	PID       int
	Addresses map[Port]string
	Others    Port // where the other clients send their requests
}

// Result is what the other clients and the process's memory showed.
type Result struct {
	PeakKB            int // peak resident memory of the process
	P50, P99, Longest time.Duration
	Outcomes          map[string]int // of the other clients' requests, by kind; "none" without an answer
}

// requestInterval is the time between two requests of other clients.
const requestInterval = 100 * time.Millisecond

// Run lets the hostile clients of a picture loose on a server for a time, and sends requests of
// other clients meanwhile.
func Run(ctx context.Context, server Server, picture Picture, duration time.Duration) (Result, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var hostile sync.WaitGroup
	for range picture.Clients {
		hostile.Go(func() {
			for ctx.Err() == nil {
				picture.client(ctx, server.Addresses[picture.Port])
			}
		})
	}
	result := sendOthers(server, duration)
	stop()
	hostile.Wait()
	var err error
	result.PeakKB, err = peakMemoryKB(server.PID)
	return result, err
}

// sendOthers sends the other clients' requests and waits for their answers.
func sendOthers(server Server, duration time.Duration) Result {
	var mu sync.Mutex
	var requests sync.WaitGroup
	var took []time.Duration
	outcomes := map[string]int{}
	for n := range int(duration / requestInterval) {
		requests.Go(func() {
			began := time.Now()
			kind := send(server, n)
			mu.Lock()
			defer mu.Unlock()
			took = append(took, time.Since(began))
			outcomes[kind]++
		})
		time.Sleep(requestInterval)
	}
	requests.Wait()
	slices.Sort(took)
	return Result{P50: took[len(took)/2], P99: took[len(took)*99/100], Longest: took[len(took)-1], Outcomes: outcomes}
}

// send sends a request of another client and returns the kind of its answer.
func send(server Server, n int) string {
	client := map[Port]fakes.Client{ThriftPort: fakes.Thrift, UWSGIPort: fakes.UWSGI, LibraryPort: fakes.HTTP}[server.Others]
	class, key := classPage, ""
	if server.Others == LibraryPort {
		class, key = libraryPath, fmt.Sprint("other-key-", n)
	}
	attempt, err := client(server.Addresses[server.Others], class, key, fmt.Sprint("other ", n))
	if err != nil {
		return "none"
	}
	if err := attempt.Send(); err != nil {
		attempt.Disconnect()
		return "none"
	}
	outcome, err := attempt.Outcome()
	if err != nil {
		return "none"
	}
	return outcome.Kind
}

// peakMemoryKB returns the peak resident memory of a process.
func peakMemoryKB(pid int) (int, error) {
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0, fmt.Errorf("the process has ended: %w", err)
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			return strconv.Atoi(strings.Fields(value)[0])
		}
	}
	return 0, fmt.Errorf("no VmHWM for process %d", pid)
}
