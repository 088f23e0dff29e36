package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"quincerail.example/quincerail/internal/fakes"
)

// upgradeKeys starts a new version beside an app server that keeps its keys in a folder, and later
// kills and restarts it. A repeat of a gift is answered with the first result.
func upgradeKeys(s *site) (broken []string, err error) {
	address, socket, err := s.holdSocket()
	if err != nil {
		return nil, err
	}
	keys := filepath.Join(s.temp, "keys")
	s.work.duration = func(string) time.Duration { return 60 * time.Millisecond }
	s.work.result = func(b string) []byte { return []byte((b + strings.Repeat("r", 4096))[:4096]) }
	n, err := s.start("old", address, socket, "--keys", keys)
	if err != nil {
		return nil, err
	}
	if err := n.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	evening := s.sendAll(fakes.Thrift, address, gift, "evening", 10*time.Millisecond)
	time.Sleep(16 * time.Second)
	evening.stop()
	evening.await()
	s.log("key files %v", segments(keys))
	time.Sleep(giftWindow) // a quiet time

	day := s.sendAll(fakes.Thrift, address, gift, "day", 16*time.Millisecond)
	time.Sleep(2 * time.Second)
	if s.trouble {
		successor, err := s.start("new", address, socket, "--keys", keys)
		if err != nil {
			return nil, err
		}
		if err := successor.awaitReady(6 * time.Second); err != nil {
			return nil, err
		}
		n.terminate(3700 * time.Millisecond)
		n = successor
	}
	for seconds := range 4 {
		time.Sleep(time.Second)
		s.log("%d s later: key files %v", seconds+1, segments(keys))
	}
	day.stop()
	day.await()
	n.kill()
	time.Sleep(comesBack)
	if n, err = s.start("restarted", address, socket, "--keys", keys); err != nil {
		return nil, err
	}
	if err := n.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var again sync.WaitGroup
	repeats := 0
	for i := int64(1); i <= day.next.Load(); i++ {
		id := fmt.Sprintf("day-%d", i)
		first := day.answers[id]
		if first.Kind != "served" {
			continue
		}
		repeats++
		again.Go(func() {
			if o := s.try(fakes.Thrift, address, gift, key(id), body(id)); o != first {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, fmt.Sprintf("%s was served, and its repeat was answered %s, not with the first result", id, o.Kind))
			}
		})
		time.Sleep(4 * time.Millisecond)
	}
	again.Wait()
	s.log("%d repeats, %d not answered with the first result", repeats, len(broken))
	return append(s.ranTwice(), broken...), nil
}
