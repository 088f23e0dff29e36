package policy_test

import (
	"fmt"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/policy"
)

// printer is a host that prints the answers and the runs of requests.
type printer struct{}

func (printer) Run(id string)                                 { fmt.Println("run", id) }
func (printer) Shed(id string, _ time.Duration, noRetry bool) { fmt.Println("shed", id, noRetry) }
func (printer) Fail(id string)                                { fmt.Println("fail", id) }
func (printer) Cancel(string)                                 {}
func (printer) Call(string, time.Duration)                    {}
func (printer) SkipCall(string)                               {}
func (printer) CacheResult(string, time.Duration)             {}
func (printer) EvictResult(string)                            {}
func (printer) ServeCached(string)                            {}
func (printer) SetHealth(bool, bool)                          {}
func (printer) PublishLoad(float64)                           {}
func (printer) SetIdleTimeout(time.Duration)                  {}
func (printer) SetTimer(time.Duration, int64)                 {}
func (printer) Log(decision.Event)                            {}

func Example() {
	instance, err := policy.New(decision.Settings{
		Classes:  []decision.Class{{LatencyObjective: 2 * time.Second, Deadline: 8 * time.Second, Weight: 1}},
		Cores:    4,
		MemoryKB: 8192, RunningMemoryFactor: 4, OverloadRatio: 5,
		DeadlineSlack: 80 * time.Millisecond, BatchInterval: 2 * time.Millisecond,
	}, 1, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 5 * time.Second // any monotonic clock
	instance.RequestReceived(now, decision.Request{ID: "a", ReservedKB: 20})
	instance.Decide(now)
	// Output: run a
}
