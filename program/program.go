package program

import (
	"context"
	"fmt"
	"log"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"quincerail.example/quincerail/routing"
	"quincerail.example/quincerail/transport"
)

const (
	leaveWithin  = time.Second            // after leaving was said, until an idle connection is closed
	sweepLeast   = 20 * time.Millisecond  // between two looks for idle connections
	sweepMost    = 500 * time.Millisecond // likewise
	exitMargin   = 120 * time.Millisecond // before the kill, when all has been answered
	heapShare    = 0.75                   // of the memory is for the heap
	keysShare    = 8                      // one part in so many of the memory is for kept results
	connsOf4     = 3                      // parts in four of the descriptors are for callers
	heapCollects = 100                    // GOGC: the limit above binds before it does
)

// idleLimit holds how long connections may idle.
type idleLimit struct{ after atomic.Int64 }

// CloseIdle implements routing.Connections.
func (l *idleLimit) CloseIdle(after time.Duration) { l.after.Store(int64(after)) }

// Serve runs the app server until ctx ends, and then drains it.
func Serve(ctx context.Context, c *Config) error {
	debug.SetMemoryLimit(int64(float64(c.MemoryMB) * heapShare * (1 << 20)))
	debug.SetGCPercent(heapCollects)
	runtime.GOMAXPROCS(max(1, int(c.Cores)))

	link, pool := newProcessorLink(c.Gauges), newLedgerPool(c.Ledger)
	presence, idle := newAnnouncer(c.Announce, c.Name), &idleLimit{}
	idle.CloseIdle(c.Settings.MaxIdle)
	core, err := routing.New(routing.Options{Settings: c.Settings, Classes: c.Classes, Seed: c.Seed,
		Backend: link, Machine: link, Dependency: pool, Presence: presence, Connections: idle,
		KeyBytes: c.MemoryMB << 20 / keysShare})
	if err != nil {
		return err
	}
	link.core, pool.core = core, core

	front := newThriftFront(core)
	server, err := transport.Listen(c.Listen, c.Sockets*connsOf4/4, front.serve)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	log.Printf("event=started name=%s listen=%s", c.Name, server.Addr())

	// What serves goes on through the drain, beyond ctx.
	working, stop := context.WithCancel(context.Background())
	defer stop()
	go core.Run(working)
	go link.run(working, c.Processor)
	go presence.run(working)
	go server.Run()
	sweep(ctx, front, idle, c.Settings.MaxIdle)
	return drain(c, core, front, server)
}

// sweep takes leave of idle connections until ctx ends.
func sweep(ctx context.Context, front *thriftFront, idle *idleLimit, most time.Duration) {
	for {
		after := time.Duration(idle.after.Load())
		select {
		case <-ctx.Done():
			return
		case <-time.After(min(max(after/4, sweepLeast), sweepMost)):
		}
		if after >= most { // callers close them by themselves
			continue
		}
		front.each(func(t *thriftConn) {
			if t.idle(after) {
				t.leave()
			}
		})
	}
}

// drain follows the notice to leave: callers are told, what comes within the
// grace is still served, and the process ends when all is answered and the
// callers have closed their connections, or just before it is killed.
func drain(c *Config, core *routing.Core, front *thriftFront, server *transport.Server) error {
	stopAt := time.Now().Add(c.Stop)
	log.Printf("event=drain stop_in=%v", c.Stop)
	core.Drain(stopAt)
	front.each((*thriftConn).leave)
	last := time.After(time.Until(stopAt) - exitMargin)
	grace := time.After(c.Settings.DrainGrace)
	for {
		select {
		case <-grace:
			server.Close() // a refused connection proves that nothing ran
			front.each((*thriftConn).leave)
		case <-server.Empty():
			log.Printf("event=stopped")
			return nil
		case <-last:
			log.Printf("event=stopped open=true")
			return nil
		}
	}
}
