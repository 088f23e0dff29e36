package fleettest

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"quincerail.example/quincerail/internal/fakes"
)

// keyedClass is the example's class whose requests have a key.
const keyedClass = "ny-gava"

// callerPause is when a member that did not answer is asked again.
const callerPause = 20 * time.Millisecond

// errNotListening is given for a member that has not said where it listens.
var errNotListening = errors.New("fleettest: the member does not listen yet")

// ask has one caller ask a member for work until the fleet is closed.
func (f *Fleet) ask(c *Child, caller int) {
	for n := 0; ; n++ {
		pause := time.Duration(0)
		if err := f.askOnce(c, fmt.Sprintf("%s-%d-%d", c.Name, caller, n)); err != nil {
			pause = callerPause
		}
		select {
		case <-f.closed:
			return
		case <-time.After(pause):
		}
	}
}

// askOnce sends one request, named by id, and waits for its outcome.
func (f *Fleet) askOnce(c *Child, id string) error {
	class, word := cmp.Or(f.opt.Class, "kampanjsida"), cmp.Or(f.opt.Word, "call")
	address := c.address.Load()
	if address == nil {
		return errNotListening
	}
	key := ""
	if class == keyedClass {
		key = id
	}
	try, err := fakes.Thrift(*address, class, key, word+" "+id)
	if err != nil {
		return err
	}
	if err := try.Send(); err != nil {
		return err
	}
	_, err = try.Outcome()
	return err
}

// StopCallers ends the callers, and returns when they have.
func (f *Fleet) StopCallers() {
	f.stopCallers()
	f.callers.Wait()
}
