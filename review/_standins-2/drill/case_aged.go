package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"quincerail.example/quincerail/internal/fakes"
)

// keysNeverAged sends many gifts to a server that keeps its keys in a folder, and waits until the
// windows of their keys are over. Then it sends a few more gifts, kills and restarts the server,
// and repeats them. A repeat is answered with the first result.
func keysNeverAged(s *site) (broken []string, err error) {
	const receipt = 200 << 10 // bytes of a result
	many := 275
	if !s.trouble {
		many = 25
	}
	backend, err := newUWSGIBackend(s)
	if err != nil {
		return nil, err
	}
	s.work.result = func(b string) []byte { return []byte((b + strings.Repeat("r", receipt))[:receipt]) }
	file, web, err := s.uwsgiFile(backend)
	if err != nil {
		return nil, err
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	keys := filepath.Join(s.temp, "keys")
	flags := []string{"--uwsgi", file, "--keys", keys}
	n, err := s.start("server", listen, nil, flags...)
	if err != nil {
		return nil, err
	}
	if err := n.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	load := s.sendAll(fakes.UWSGI, web, gift, "load", 33*time.Millisecond)
	for load.next.Load() < int64(many) {
		time.Sleep(time.Millisecond)
	}
	load.stop()
	load.await()
	s.log("key files %v", segments(keys))
	time.Sleep(giftWindow + 500*time.Millisecond)
	s.log("the windows of all keys are over")

	first := make(map[string]fakes.Outcome)
	for i := range 10 {
		id := fmt.Sprintf("gift-%d", i+1)
		first[id] = s.try(fakes.UWSGI, web, gift, key(id), body(id))
	}
	time.Sleep(time.Second)
	n.kill()
	if n, err = s.start("restarted", listen, nil, flags...); err != nil {
		return nil, err
	}
	if err := n.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	for id, o := range first {
		if o.Kind != "served" {
			s.log("%s was %s, which this case does not judge", id, o.Kind)
			continue
		}
		if again := s.try(fakes.UWSGI, web, gift, key(id), body(id)); again != o {
			broken = append(broken, fmt.Sprintf("%s was served, and its repeat was answered %s, not with the first result", id, again.Kind))
		}
	}
	return append(s.ranTwice(), broken...), nil
}
