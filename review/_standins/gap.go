package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

// playGap plays two upgrades, one after the other: the second process takes over from the first,
// and the third from the second. The trouble is a short standstill of the second process, which
// covers the end of the first and the start of the third.
func playGap(p *platform, trouble bool) (bool, error) {
	const (
		gifts         = 100
		longBody      = "a long run"
		longRun       = 1500 * time.Millisecond
		stopBeforeEnd = 100 * time.Millisecond
	)
	p.work.duration = func(body string) time.Duration {
		if body == longBody {
			return longRun / 2 // before its call and after it
		}
		return 5 * time.Millisecond
	}
	first, err := p.upgrade("first", nil)
	if err != nil {
		return false, err
	}
	// A request whose run takes long is open at the first process during the first upgrade.
	before := &balancer{address: p.address, record: p.record}
	defer before.close()
	long := &try{id: hexID(8), class: safeClass, body: longBody}
	if err := before.send(long); err != nil {
		return false, err
	}
	longSince := time.Now()
	time.Sleep(50 * time.Millisecond)
	second, err := p.upgrade("second", first)
	if err != nil {
		return false, err
	}
	time.Sleep(100 * time.Millisecond)
	clients := &balancer{address: p.address, record: p.record}
	defer clients.close()
	var tries []*try
	for i := range gifts {
		t := newGift(i)
		t.loseAnswer = i%loseEvery == 0
		tries = append(tries, t)
		if err := clients.send(t); err != nil {
			return false, err
		}
		time.Sleep(5 * time.Millisecond)
	}
	if err := awaitAll(tries, 3*time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Until(longSince.Add(longRun - stopBeforeEnd)))
	if first.hasExited() {
		return false, errors.New("the first process ended too early")
	}
	if trouble {
		p.signal(second, syscall.SIGSTOP)
	}
	stoppedAt := time.Now()
	if err := awaitAll([]*try{long}, 4*time.Second); err != nil {
		return false, err
	}
	if err := p.awaitExit(first); err != nil {
		return false, err
	}
	third, err := p.start("third")
	if err != nil {
		return false, err
	}
	close(third.processor.up)
	if trouble {
		time.Sleep(120 * time.Millisecond)
		p.signal(second, syscall.SIGCONT)
		p.record.say("the second process stood still for %d ms", time.Since(stoppedAt).Milliseconds())
	}
	if err := p.awaitYes(third); err != nil {
		return false, err
	}
	p.retire(second)
	if err := p.awaitExit(second); err != nil {
		return false, err
	}
	retries, err := p.retryLost(tries)
	if err != nil {
		return false, err
	}
	return p.duplicates(append(tries, retries...)) > 0, nil
}

// awaitAll waits until all tries have ended.
func awaitAll(tries []*try, within time.Duration) error {
	end := time.Now().Add(within)
	for _, t := range tries {
		if !t.wait(time.Until(end)) {
			return fmt.Errorf("try %s has no answer after %v", t.id, within)
		}
	}
	return nil
}

// loseEvery: the answer to one in so many gifts is lost.
const loseEvery = 10

// retryLost sends a further try of each request whose answer was lost, on new connections, and
// waits for the answers.
func (p *platform) retryLost(tries []*try) ([]*try, error) {
	b := &balancer{address: p.address, record: p.record}
	defer b.close()
	var retries []*try
	for _, t := range tries {
		if t.outcome != lostAnswer {
			continue
		}
		r := t.again()
		if err := b.send(r); err != nil {
			return nil, err
		}
		retries = append(retries, r)
		time.Sleep(2 * time.Millisecond)
	}
	return retries, awaitAll(retries, 8*time.Second)
}
