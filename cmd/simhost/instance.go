package main

import (
	"fmt"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/internal/simwire"
	"quincerail.example/quincerail/policy"
)

// instance is one instance of the decision module, with the actions of this batch.
type instance struct {
	module    *policy.Instance
	reply     simwire.Reply
	addressed bool // it has an event in this batch
	failed    bool // its module panicked: it does nothing any more
}

func newInstance(id int64) *instance {
	return &instance{reply: simwire.Reply{Instance: id}}
}

// start makes the module. Settings that make no sense are a failure of the instance.
func (i *instance) start(settings decision.Settings, seed int64) {
	i.guard(func() {
		module, err := policy.New(settings, seed, &i.reply)
		if err != nil {
			panic(err)
		}
		i.module = module
	})
}

// do passes an event to the module.
func (i *instance) do(event moduleEvent) {
	i.guard(func() { event(i.module) })
}

// decide has the module settle the batch, and returns its actions as lines.
func (i *instance) decide(now time.Duration) []byte {
	i.guard(func() { i.module.Decide(now) })
	return i.reply.TakeLines()
}

// guard runs code of the module. A panic is reported in place of its actions, and is the
// last that the instance does.
func (i *instance) guard(f func()) {
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
