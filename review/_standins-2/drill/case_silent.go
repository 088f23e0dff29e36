package main

import (
	"fmt"
	"net"
	"sync"
	"time"

	"quincerail.example/quincerail/internal/fakes"
)

// silentClients serves requests over uwsgi while other clients connect and say nothing. Each
// request has its final answer by its due time.
func silentClients(s *site) (broken []string, err error) {
	const (
		silent = 300 // clients that connect and say nothing
		due    = 4600 * time.Millisecond
	)
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
	n, err := s.start("server", listen, nil, "--uwsgi", file)
	if err != nil {
		return nil, err
	}
	if err := n.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	if o := s.try(fakes.UWSGI, web, history, "", body("warm-up")); o.Kind != "served" {
		return nil, fmt.Errorf("the first request got %s", o.Kind)
	}
	if s.trouble {
		for range silent {
			c, err := net.DialTimeout("tcp", web, time.Second)
			if err != nil {
				return nil, err
			}
			s.onClose(func() { _ = c.Close() })
		}
		s.log("%d clients have connected to the uwsgi frontend and say nothing", silent)
	}
	var mu sync.Mutex
	var sent sync.WaitGroup
	total, late := 0, 0
	for range 80 {
		total++
		id := fmt.Sprintf("request-%d", total)
		sent.Go(func() {
			began := time.Now()
			o := s.try(fakes.UWSGI, web, history, "", body(id))
			if took := time.Since(began); o.Kind == "none" || took > due+slack {
				mu.Lock()
				defer mu.Unlock()
				late++
				broken = append(broken, fmt.Sprintf("%s had no final answer when it was due, %.2f s after it was sent: %s after %.2f s",
					id, (due+slack).Seconds(), o.Kind, took.Seconds()))
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	sent.Wait()
	s.log("%d of %d requests had no final answer when they were due", late, total)
	if late*1000 <= 3*total { // the pages allow 3 in 1,000 where there is trouble
		return nil, nil
	}
	return broken, nil
}
