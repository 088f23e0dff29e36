package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"quincerail.example/quincerail/internal/fakes"
)

// Classes and figures of the settings.
const (
	page    = "kampanjsida"
	history = "givarhistorik"
	gift    = "ny-gava"

	giftWindow = 20706 * time.Millisecond
	// comesBack is the time after which a killed server is started again: 5.5 to 25 s by the brief.
	comesBack = 5500 * time.Millisecond
	// slack is the slack of a due time: 60 ms in the settings, and 50 ms on sockets.
	slack = 110 * time.Millisecond
)

// try sends one try of a request over a protocol, and records its answer. The kind of the answer
// is "none" if the connection was refused or ended without one.
func (s *site) try(client fakes.Client, address, class, key, body string) fakes.Outcome {
	s.log("send %s", name(body))
	t, err := client(address, class, key, body)
	if err == nil {
		err = t.Send()
	}
	var o fakes.Outcome
	if err == nil {
		o, err = t.Outcome()
	}
	if err != nil {
		o.Kind = "none"
	}
	s.log("answer %s %s", name(body), o.Kind)
	return o
}

// requests are new requests of one class that are sent at a rate until stop is called.
type requests struct {
	site    *site
	prefix  string
	next    atomic.Int64
	stopped chan struct{}
	done    chan struct{}
	open    sync.WaitGroup

	mu      sync.Mutex
	answers map[string]fakes.Outcome // by the name of the request
}

func (s *site) sendAll(client fakes.Client, address, class, prefix string, every time.Duration) *requests {
	g := &requests{site: s, prefix: prefix, stopped: make(chan struct{}), done: make(chan struct{}), answers: make(map[string]fakes.Outcome)}
	go func() {
		defer close(g.done)
		tick := time.NewTicker(every)
		defer tick.Stop()
		for {
			select {
			case <-g.stopped:
				return
			case <-tick.C:
				id := fmt.Sprintf("%s-%d", g.prefix, g.next.Add(1))
				g.open.Go(func() {
					o := s.try(client, address, class, key(id), body(id))
					g.mu.Lock()
					defer g.mu.Unlock()
					g.answers[id] = o
				})
			}
		}
	}()
	return g
}

// stop sends no more requests.
func (g *requests) stop() {
	close(g.stopped)
	<-g.done
}

// await waits for the answers, and records how many there are of each kind.
func (g *requests) await() map[string]int {
	g.open.Wait()
	counts := make(map[string]int)
	for _, o := range g.answers {
		counts[o.Kind]++
	}
	g.site.log("%s: %d sent, answers %v", g.prefix, g.next.Load(), counts)
	return counts
}

// key returns the idempotency key of a request, 32 hex digits.
func key(id string) string {
	return (fmt.Sprintf("%x", id) + strings.Repeat("0", 32))[:32]
}

// body returns the body of a request, which begins with its name.
func body(id string) string { return id + " " + strings.Repeat("g", 200) }

// segments returns the sizes of the files in the folder of the keys.
func segments(dir string) (sizes []int64) {
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, f := range files {
		if info, err := os.Stat(f); err == nil {
			sizes = append(sizes, info.Size())
		}
	}
	return sizes
}

// ranTwice returns the gifts of which two tries ran within the window of their key.
func (s *site) ranTwice() (broken []string) {
	s.work.mu.Lock()
	defer s.work.mu.Unlock()
	for b, runs := range s.work.runs {
		for _, r := range runs[1:] {
			if r.class == gift && r.at.Sub(runs[0].at) < giftWindow {
				broken = append(broken, fmt.Sprintf("%s ran %s, and again %.1f s later %s",
					name(b), runs[0].where(), r.at.Sub(runs[0].at).Seconds(), r.where()))
			}
		}
	}
	return broken
}

func (b begun) where() string { return "at " + b.processor }
