package main

import (
	"errors"
	"path/filepath"
	"sync"
	"time"
)

// playFull sends gifts at full load to a process that keeps its keys in a folder, and then many
// gifts at once. The trouble is that the results are as large as the protocol allows, so that the
// folder's store fills up; without it they are small.
func playFull(p *platform, trouble bool) (bool, error) {
	const (
		giftsPerSecond = 228
		fillFor        = 56 * time.Second
		connections    = 100
		crowdFor       = 10 * time.Second
	)
	p.flags = " --keys " + filepath.Join(p.dir, "keys")
	p.work.duration = func(string) time.Duration { return 2 * time.Millisecond }
	if trouble {
		p.work.resultSize = maxResult
	}
	only, err := p.upgrade("only", nil)
	if err != nil {
		return false, err
	}
	clients := &balancer{address: p.address, record: p.record}
	defer clients.close()
	var tries []*try
	for at, end := time.Now(), time.Now().Add(fillFor); at.Before(end); at = at.Add(time.Second / giftsPerSecond) {
		time.Sleep(time.Until(at))
		t := newGift(len(tries))
		if err := clients.send(t); err != nil {
			return false, err
		}
		tries = append(tries, t)
	}
	last := tries[len(tries)-1]
	last.wait(time.Second)
	p.record.say("%d gifts one after the other; the last one was %s", len(tries), last.outcome)
	if trouble && last.outcome == "served" {
		return false, errors.New("the store did not fill up")
	}
	crowd, err := p.sendCrowd(connections, crowdFor)
	if err != nil {
		return false, err
	}
	tries = append(tries, crowd...)
	time.Sleep(giftDeadline + answerSlack + time.Second)
	p.record.say("the operators' check is answered with done: %t", only.check())
	return p.lost(tries), nil
}

// sendCrowd opens connections and sends a crowd of gifts: as many over each connection as may be
// open there, all at once, and the same again as soon as they are answered.
func (p *platform) sendCrowd(connections int, d time.Duration) ([]*try, error) {
	var conns []*balancerConn
	for range connections {
		c, err := dialBalancer(p.address, p.record)
		if err != nil {
			return nil, err
		}
		conns = append(conns, c)
	}
	var sending sync.WaitGroup
	var mu sync.Mutex
	var all []*try
	end := time.Now().Add(d)
	for _, c := range conns {
		sending.Go(func() {
			for time.Now().Before(end) && c.usable() {
				var gifts []*try
				for i := range maxOpen {
					gifts = append(gifts, newGift(i))
				}
				if c.sendAll(gifts) != nil {
					return
				}
				mu.Lock()
				all = append(all, gifts...)
				mu.Unlock()
				if awaitAll(gifts, giftDeadline) != nil {
					return
				}
			}
		})
	}
	sending.Wait()
	return all, nil
}
