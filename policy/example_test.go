package policy_test

import (
	"fmt"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/policy"
)

// printer is a host that prints the actions on requests.
type printer struct{}

func (printer) Run(id string)                                { fmt.Println("run", id) }
func (printer) Refuse(id string, _ time.Duration, last bool) { fmt.Println("refuse", id, last) }
func (printer) Fail(id string)                               { fmt.Println("fail", id) }
func (printer) Halt(string)                                  {}
func (printer) Call(string, time.Duration)                   {}
func (printer) Skip(string)                                  {}
func (printer) Keep(string, time.Duration)                   {}
func (printer) Forget(string)                                {}
func (printer) Reuse(string)                                 {}
func (printer) Health(bool, bool)                            {}
func (printer) Say(float64)                                  {}
func (printer) CloseIdle(time.Duration)                      {}
func (printer) Wake(time.Duration, int64)                    {}
func (printer) Log(string)                                   {}

func Example() {
	instance, err := policy.New(decision.Settings{
		Classes:  []decision.Class{{Aim: 2 * time.Second, Deadline: 8 * time.Second, Worth: 1}},
		Cores:    4,
		MemoryKB: 8192, RunFactor: 4, FallMultiple: 5,
		AnswerSlack: 80 * time.Millisecond, BatchGap: 2 * time.Millisecond,
	}, 1, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 5 * time.Second // any clock that does not go back
	instance.Request(now, decision.Request{ID: "a", HeldKB: 20})
	instance.Decide(now)
	// Output: run a
}
