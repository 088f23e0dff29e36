package main

import (
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"quincerail.example/quincerail/internal/fakes"
)

// latin1Key sends gifts over uwsgi whose key holds a letter in ISO 8859-1, and kills and restarts
// the server, which keeps its keys in a folder, while some of them run. No gift may run twice.
func latin1Key(s *site) (broken []string, err error) {
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
	s.work.duration = func(string) time.Duration { return 1200 * time.Millisecond }
	flags := []string{"--uwsgi", file, "--keys", filepath.Join(s.temp, "keys")}
	n, err := s.start("server", listen, nil, flags...)
	if err != nil {
		return nil, err
	}
	if err := n.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	keyOf := func(id string) string { return "g\xe5va-" + id } // gåva in ISO 8859-1
	var mu sync.Mutex
	unanswered := []string{}
	var sent sync.WaitGroup
	for i := range 6 {
		id := fmt.Sprintf("gift-%d", i+1)
		sent.Go(func() {
			if o := s.try(fakes.UWSGI, web, gift, keyOf(id), body(id)); o.Kind == "none" {
				mu.Lock()
				defer mu.Unlock()
				unanswered = append(unanswered, id)
			}
		})
	}
	time.Sleep(700 * time.Millisecond)
	if s.trouble {
		n.kill()
	}
	sent.Wait()
	if s.trouble {
		time.Sleep(comesBack)
		if n, err = s.start("restarted", listen, nil, flags...); err != nil {
			return nil, err
		}
		if err := n.awaitReady(10 * time.Second); err != nil {
			return nil, err
		}
		s.log("%d gifts got no answer: their callers try again", len(unanswered))
	} else {
		unanswered = []string{"gift-1", "gift-2", "gift-3"} // second tries of answered gifts
	}
	var again sync.WaitGroup
	for _, id := range unanswered {
		again.Go(func() { s.try(fakes.UWSGI, web, gift, keyOf(id), body(id)) })
	}
	again.Wait()
	return s.ranTwice(), nil
}
