package quota

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAcquireRelease measures one TryAcquire and one Release, which run once per
// call of the shared dependency.
func BenchmarkAcquireRelease(b *testing.B) {
	m := benchmarkMember(b)
	for b.Loop() {
		if m.TryAcquire(0) {
			m.Release()
		}
	}
}

// BenchmarkMerge measures Merge of a known heartbeat in a fleet of 300 members.
func BenchmarkMerge(b *testing.B) {
	m := benchmarkMember(b)
	var heartbeats []Delta
	for i := range 300 {
		id := ID{Member: fmt.Sprint("n", i), Incarnation: 1}
		state := MemberState{Heartbeat: 1, Counters: map[string]PNCounter{"answers": {Increments: 1}}}
		heartbeats = append(heartbeats, Delta{ID: id, MemberState: &state})
		m.Merge(heartbeats[i])
	}
	for i := 0; b.Loop(); i++ {
		m.Merge(heartbeats[i%len(heartbeats)])
	}
}

func benchmarkMember(b *testing.B) *Member {
	b.Helper()
	m, err := NewMember(ID{Member: "a", Incarnation: 1}, testTiming, nil)
	if err != nil {
		b.Fatal(err)
	}
	m.Tick(0)
	m.Merge(Delta{ID: m.id, Account: &Account{LogIndex: 1, Granted: 10, AckedHeartbeat: 1}})
	m.Tick(time.Second)
	return m
}
