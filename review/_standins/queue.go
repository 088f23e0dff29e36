package main

import (
	"errors"
	"syscall"
	"time"
)

// playQueue plays an upgrade while the old process serves gifts. The trouble is a short standstill
// of the new process, between its start and its yes.
func playQueue(p *platform, trouble bool) (bool, error) {
	const (
		giftsPerSecond = 190
		standstill     = 1500 * time.Millisecond
	)
	p.work.resultSize = maxResult
	first, err := p.upgrade("first", nil)
	if err != nil {
		return false, err
	}
	clients := &balancer{address: p.address, record: p.record}
	defer clients.close()
	var tries []*try
	sendFor := func(d time.Duration) error {
		for at, end := time.Now(), time.Now().Add(d); at.Before(end); at = at.Add(time.Second / giftsPerSecond) {
			time.Sleep(time.Until(at))
			t := newGift(len(tries))
			t.loseAnswer = len(tries)%loseEvery == 0
			if err := clients.send(t); err != nil {
				return err
			}
			tries = append(tries, t)
		}
		return nil
	}
	if err := sendFor(500 * time.Millisecond); err != nil {
		return false, err
	}
	second, err := p.start("second")
	if err != nil {
		return false, err
	}
	close(second.processor.up)
	select {
	case <-second.listening:
	case <-time.After(readyWithin):
		return false, errors.New("the second process does not listen")
	}
	if trouble {
		p.signal(second, syscall.SIGSTOP)
	}
	if err := sendFor(standstill); err != nil {
		return false, err
	}
	if trouble {
		p.signal(second, syscall.SIGCONT)
	}
	if err := p.awaitYes(second); err != nil {
		return false, err
	}
	p.retire(first)
	if err := awaitAll(tries, 8*time.Second); err != nil {
		return false, err
	}
	if err := p.awaitExit(first); err != nil {
		return false, err
	}
	retries, err := p.retryLost(tries)
	if err != nil {
		return false, err
	}
	return p.duplicates(append(tries, retries...)) > 0, nil
}
