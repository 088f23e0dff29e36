package main

import (
	"fmt"
	"sort"
	"time"
)

// The figures of the rules.
const (
	keyedClass   = "ny-gava"
	safeClass    = "kampanjsida"
	keyWindow    = 20706 * time.Millisecond
	giftDeadline = 6900 * time.Millisecond
	answerSlack  = 110 * time.Millisecond // 60 ms, and 50 ms more on sockets
	lostShare    = 0.003                  // of the requests, from which on the rule on lost requests is broken
	maxResult    = 4096                   // bytes
	maxOpen      = 32                     // open requests on a connection
)

// duplicates checks the rule on duplicates: counted from door of the try that ran, no try of the
// request that was written within the window may be run. It returns how often it was broken.
func (p *platform) duplicates(tries []*try) int {
	byID := make(map[string]*try)
	for _, t := range tries {
		byID[t.id] = t
	}
	byKey := make(map[string][]*run)
	for _, r := range p.runs() {
		if t := byID[r.id]; t != nil && t.key != "" {
			byKey[t.key] = append(byKey[t.key], r)
		}
	}
	keys := make([]string, 0, len(byKey))
	for key := range byKey {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	broken := 0
	for _, key := range keys {
		runs := byKey[key]
		sort.Slice(runs, func(i, j int) bool { return runs[i].begunAt.Before(runs[j].begunAt) })
		for i, r := range runs[1:] {
			first, second := byID[runs[i].id], byID[r.id]
			if after := second.writtenAt.Sub(first.door); after < keyWindow {
				broken++
				p.record.line("DUPLICATE: key %s: try %s ran in process %s; try %s, written %.3f s after the door of the former, ran in process %s",
					key, first.id, runs[i].processor, second.id, after.Seconds(), r.processor)
			}
		}
	}
	again := 0
	for _, t := range tries {
		if t.outcome == lostAnswer {
			again++
		}
	}
	p.record.say("%d gifts ran, %d of them were tried again as their answer was lost, %d ran twice within the window",
		len(byKey), again, broken)
	return broken
}

// lost checks the rule on lost requests: each has a final answer by its due time, but for fewer
// than 3 in 1,000. It must be called after the due time of all tries. It reports whether the rule
// was broken.
func (p *platform) lost(tries []*try) bool {
	none, late := 0, 0
	for _, t := range tries {
		switch {
		case !t.wait(0) || t.outcome == noAnswer:
			none++
			p.record.line("LOST: try %s has no answer", t.id)
		case t.answerAt.Sub(t.door) > giftDeadline+answerSlack:
			late++
			p.record.line("LOST: try %s was answered %.3f s after door", t.id, t.answerAt.Sub(t.door).Seconds())
		}
	}
	p.record.say("%d requests, %d without an answer, %d answered after their due time", len(tries), none, late)
	return float64(none+late) >= lostShare*float64(len(tries))
}

// newGift returns the first try of a new keyed request.
func newGift(number int) *try {
	return &try{id: hexID(8), class: keyedClass, key: hexID(16), body: fmt.Sprintf("gift %d", number)}
}

// again returns a further try of the same request.
func (t *try) again() *try { return &try{id: hexID(8), class: t.class, key: t.key, body: t.body} }
