package main

import (
	"fmt"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/internal/simwire"
	"quincerail.example/quincerail/policy"
)

// instance is one instance of the decision module, with its actions in the current batch.
type instance struct {
	module  *policy.Instance
	reply   simwire.Reply
	inBatch bool // has an event in the current batch
	failed  bool // the module panicked and is not called any more
}

func newInstance(id int64) *instance {
	return &instance{reply: simwire.Reply{InstanceID: id}}
}

// start creates the module. Invalid settings are reported as a failure of the instance.
func (i *instance) start(settings decision.Settings, seed int64) {
	i.callModule(func() {
		module, err := policy.New(settings, seed, &i.reply)
		if err != nil {
			panic(err)
		}
		i.module = module
	})
}

// handleEvent passes an event to the module.
func (i *instance) handleEvent(event moduleEvent) {
	i.callModule(func() { event(i.module) })
}

// decide calls the module's Decide at the end of a batch, and returns its actions as lines.
func (i *instance) decide(now time.Duration) []byte {
	i.callModule(func() { i.module.Decide(now) })
	return i.reply.TakeLines()
}

// callModule runs a function that calls the module. If the function panics, a failure is
// reported in place of the module's actions, and the module isn't called any more.
func (i *instance) callModule(f func()) {
	if i.failed {
		return
	}
	defer func() {
		if cause := recover(); cause != nil {
			i.failed = true
			i.reply.ReportFailure(fmt.Sprint(cause))
		}
	}()
	f()
}
