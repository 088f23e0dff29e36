package fleettest

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"quincerail.example/quincerail/internal/fakes"
)

// keyedClass is the class of the example configuration whose requests have an idempotency
// key.
const keyedClass = "ny-gava"

// callerRetryDelay is a caller's delay after a request without a response.
const callerRetryDelay = 20 * time.Millisecond

// errNotListening is the error of a request to a member that has not logged its address.
var errNotListening = errors.New("fleettest: the member has not logged its address")

// runCaller sends requests to a member, one after the other, until the callers are stopped.
func (f *Fleet) runCaller(c *Child, caller int) {
	for n := 0; ; n++ {
		pause := time.Duration(0)
		if err := f.sendRequest(c, fmt.Sprintf("%s-%d-%d", c.Name, caller, n)); err != nil {
			pause = callerRetryDelay
		}
		select {
		case <-f.closed:
			return
		case <-time.After(pause):
		}
	}
}

// sendRequest sends one request, whose body and key contain id, and waits for its outcome.
func (f *Fleet) sendRequest(c *Child, id string) error {
	class, word := cmp.Or(f.opt.Class, "kampanjsida"), cmp.Or(f.opt.Word, "call")
	address := c.address.Load()
	if address == nil {
		return errNotListening
	}
	key := ""
	if class == keyedClass {
		key = id
	}
	attempt, err := fakes.Thrift(*address, class, key, word+" "+id)
	if err != nil {
		return err
	}
	if err := attempt.Send(); err != nil {
		return err
	}
	_, err = attempt.Outcome()
	return err
}

// StopCallers stops the callers and waits until they have ended.
func (f *Fleet) StopCallers() {
	f.stopCallers()
	f.callers.Wait()
}
