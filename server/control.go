package server

import (
	"bufio"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/protocol/control"
	"quincerail.example/quincerail/transport"
)

const (
	controlConns  = 48               // some callers connect and finish no call
	controlWithin = 10 * time.Second // for a call to come whole
)

// controlDoor is where operators call.
type controlDoor struct {
	core    *dispatch.Core
	serving *atomic.Bool // whether callers are let in
}

// serve takes the one call of a connection, which ends with its answer.
func (d *controlDoor) serve(c *transport.Conn) {
	c.SetReadDeadline(time.Now().Add(controlWithin))
	answered := false
	c.Serve(func(r *bufio.Reader) error {
		if answered { // all that can come is the end of the connection
			_, err := r.ReadByte()
			return err
		}
		call, err := control.Read(r)
		switch {
		case err == nil:
			answered = true
			d.take(call, func(err error) { c.Send(control.AppendAnswer(nil, err)); c.Close() })
		case errors.Is(err, control.ErrMalformed):
			answered = true
			c.Send(control.AppendAnswer(nil, err))
			c.Close()
		default:
			return err
		}
		return nil
	})
}

// take has a call carried out.
func (d *controlDoor) take(call string, answer func(error)) {
	var err error
	switch call {
	case "check":
		err = d.core.Ready(func(ready bool) {
			if ready && d.serving.Load() {
				answer(nil)
			} else {
				answer(errors.New("not ready to serve"))
			}
		})
	case "drain-on":
		err = d.core.SetTrafficDisabled(true, func() { answer(nil) })
	case "drain-off":
		err = d.core.SetTrafficDisabled(false, func() { answer(nil) })
	default:
		err = fmt.Errorf("%q is no call", call)
	}
	if err != nil {
		answer(err)
	}
}
