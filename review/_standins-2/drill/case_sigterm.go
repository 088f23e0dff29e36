package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"quincerail.example/quincerail/internal/fakes"
)

const (
	stopAfter  = 3700 * time.Millisecond // stop_ms of the configuration
	drainGrace = 2050 * time.Millisecond // 2 s in the settings, and 50 ms on sockets
)

// sigtermAtStart restarts a server that keeps its keys in a folder, and sends it the notice to
// drain while it starts. Nothing that arrives after the grace runs, and all is answered.
func sigtermAtStart(s *site) (broken []string, err error) {
	backend, err := newUWSGIBackend(s)
	if err != nil {
		return nil, err
	}
	file, web, err := s.uwsgiFile(backend)
	if err != nil {
		return nil, err
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	s.work.result = func(b string) []byte { return []byte((b + strings.Repeat("r", 200<<10))[:200<<10]) }
	flags := []string{"--uwsgi", file, "--keys", filepath.Join(s.temp, "keys")}
	n, err := s.start("server", listen, nil, flags...)
	if err != nil {
		return nil, err
	}
	if err := n.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	gifts := s.sendAll(fakes.UWSGI, web, gift, "gift", 40*time.Millisecond)
	time.Sleep(9500 * time.Millisecond)
	gifts.stop()
	gifts.await()
	n.kill()

	s.work.duration = func(b string) time.Duration {
		if strings.HasPrefix(b, "long") {
			return 6 * time.Second
		}
		return 20 * time.Millisecond
	}
	s.work.result = func(b string) []byte { return []byte("done") }
	var notice time.Time
	var sent []*written
	// A notice in the first moments ends the program, which is no fault: then it is started again,
	// and the notice comes later.
	for _, after := range []time.Duration{30 * time.Millisecond, 60 * time.Millisecond, 120 * time.Millisecond} {
		time.Sleep(comesBack)
		if n, err = s.start("restarted", listen, nil, flags...); err != nil {
			return nil, err
		}
		if s.trouble {
			time.Sleep(after) // it reads its keys
		} else if err := n.awaitReady(10 * time.Second); err != nil {
			return nil, err
		}
		notice = time.Now()
		go n.terminate(stopAfter)
		sent = s.sendUntil(listen, notice.Add(3*time.Second))
		<-n.exited
		if n.command.ProcessState.Sys().(syscall.WaitStatus).Signal() != syscall.SIGTERM {
			s.log("the process has ended %d ms after the notice", time.Since(notice).Milliseconds())
			return append(s.lost(sent), s.ranAfterGrace(sent, notice)...), nil
		}
	}
	return nil, errors.New("the notice came before the program could take notices")
}

// written is a request that a balancer wrote.
type written struct {
	id     string
	body   string
	before time.Time // when its write began
	after  time.Time // when its write had ended; zero if the connection was refused
	answer string
}

// sendUntil sends pages at a rate, each on a connection of its own, as soon as the server listens,
// and a few long gifts.
func (s *site) sendUntil(address string, until time.Time) []*written {
	var all []*written
	var open sync.WaitGroup
	for i := 1; time.Now().Before(until); i++ {
		class, id := page, fmt.Sprintf("page-%d", i)
		if i%100 == 0 {
			class, id = gift, fmt.Sprintf("long-%d", i)
		}
		w := &written{id: id, body: body(id)}
		all = append(all, w)
		open.Go(func() { s.write(w, address, class) })
		time.Sleep(6 * time.Millisecond) // under 190 a second
	}
	open.Wait()
	return all
}

// write sends a request and waits for its answer.
func (s *site) write(w *written, address, class string) {
	w.answer = "refused connection"
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	fields := map[string]string{"verb": class, "txn": fakes.NewID(), "lb": "1", "ram": "20", "standing": "0.5"}
	if class == gift {
		fields["unique"] = key(w.id)
	}
	w.before = time.Now()
	if _, err := c.Write(fakes.AppendExecute(nil, 1, fields, []byte(w.body))); err != nil {
		return
	}
	w.after = time.Now()
	s.log("sent %s", w.id)
	w.answer = "none"
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	for r := bufio.NewReader(c); ; {
		reply, err := fakes.ReadReply(r)
		if err != nil {
			break
		}
		if reply.Name == "execute" {
			w.answer = reply.Outcome().Kind
			break
		}
	}
	s.log("answer %s %s", w.id, w.answer)
}

// ranAfterGrace returns the requests that ran although they were written after the grace.
func (s *site) ranAfterGrace(sent []*written, notice time.Time) (broken []string) {
	for _, w := range sent {
		for range s.work.of(w.body) {
			if late := w.before.Sub(notice); late > drainGrace {
				broken = append(broken, fmt.Sprintf("%s was written %d ms after the notice to drain, and ran", w.id, late.Milliseconds()))
			}
		}
	}
	return broken
}

// lost returns the requests that were read or run and got no answer.
func (s *site) lost(sent []*written) (broken []string) {
	for _, w := range sent {
		if !w.after.IsZero() && w.answer == "none" && len(s.work.of(w.body)) > 0 {
			broken = append(broken, w.id+" was read, ran, and had no answer when the process was stopped")
		}
	}
	return broken
}
