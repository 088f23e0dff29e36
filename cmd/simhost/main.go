// Command simhost hosts instances of the decision module on the simulator's
// wire: batches of events on standard input, a reply to each on standard
// output. It only translates.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"quincerail.example/quincerail/internal/simwire"
	"quincerail.example/quincerail/policy"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// hosted is one instance with the actions it has taken in this batch.
type hosted struct {
	module  *policy.Instance
	reply   simwire.Reply
	touched bool
	failed  bool
}

type host struct {
	instances map[int64]*hosted
	order     []*hosted // those with an event in this batch, in order
	now       time.Duration
}

func serve(r io.Reader, w io.Writer) error {
	const buffer = 1 << 20
	in, out := bufio.NewReaderSize(r, buffer), bufio.NewWriterSize(w, buffer)
	h := &host{instances: make(map[int64]*hosted)}
	inBatch := false
	for number := 1; ; number++ {
		line, err := in.ReadString('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("reading line %d: %w", number, err)
		}
		if err != nil && line == "" {
			if inBatch {
				return fmt.Errorf("line %d: the input ends inside a batch", number)
			}
			return nil
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			continue
		}
		m, err := simwire.Parse(line)
		if err == nil {
			err = h.take(m, &inBatch)
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if m.Name != "GO" {
			continue
		}
		h.decide(out)
		if err := out.Flush(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// take passes one message on.
func (h *host) take(m *simwire.Message, inBatch *bool) error {
	switch m.Name {
	case "CLOCK":
		if *inBatch {
			return errors.New("CLOCK inside a batch")
		}
		*inBatch, h.now = true, time.Duration(m.Need("momentUs"))*time.Microsecond
		return m.Err()
	case "GO":
		if !*inBatch {
			return errors.New("GO without CLOCK")
		}
		*inBatch = false
		return nil
	case "HELLO", "EXIT", "REQ", "WORK_DONE", "CLIENT_GONE", "NEEDS_DEP", "CAME_BACK", "LEAVING", "RING":
		if !*inBatch {
			return fmt.Errorf("%s outside a batch", m.Name)
		}
		return h.event(m)
	default:
		return nil // a later version's message
	}
}

func (h *host) event(m *simwire.Message) error {
	id := m.Need("instanceId")
	if err := m.Err(); err != nil {
		return err
	}
	i := h.instances[id]
	switch m.Name {
	case "HELLO":
		seed := m.Int("randomSeed")
		settings, err := simwire.Settings(m.Text("profileData"))
		if err = errors.Join(m.Err(), err); err != nil {
			return fmt.Errorf("HELLO: %w", err)
		}
		if i != nil {
			h.remove(i)
		}
		i = &hosted{reply: simwire.Reply{Instance: id}}
		h.instances[id] = i
		h.touch(i)
		i.guard(func() {
			module, err := policy.New(settings, seed, &i.reply)
			if err != nil {
				panic(err)
			}
			i.module = module
		})
		return nil
	case "EXIT":
		if i != nil {
			h.remove(i)
		}
		return nil
	}
	if i == nil {
		return nil
	}
	event, err := translate(m, i, h.now)
	if err != nil {
		return err
	}
	h.touch(i)
	i.guard(event)
	return nil
}

// translate gives the module's call for an event.
func translate(m *simwire.Message, i *hosted, now time.Duration) (func(), error) {
	var f func()
	switch m.Name {
	case "REQ":
		r := m.Request()
		f = func() { i.module.RequestReceived(now, r) }
	case "WORK_DONE":
		id, outcome, took := m.ID("xid"), m.Outcome("outcome"), m.Micros("timeTakenUs")
		f = func() { i.module.RunDone(now, id, outcome, took) }
	case "CLIENT_GONE":
		id := m.ID("xid")
		f = func() { i.module.CallerGone(now, id) }
	case "NEEDS_DEP":
		id := m.ID("xid")
		f = func() { i.module.CallNeeded(now, id) }
	case "CAME_BACK":
		id, outcome, took := m.ID("xid"), m.Outcome("outcome"), m.Micros("timeTakenUs")
		f = func() { i.module.CallDone(now, id, outcome, took) }
	case "LEAVING":
		stop := m.Micros("notAfterUs")
		f = func() { i.module.Drain(now, stop) }
	case "RING":
		token, gauges := m.Int("cookie"), m.Gauges("stats")
		f = func() { i.module.Tick(now, token, gauges) }
	}
	return f, m.Err()
}

func (h *host) touch(i *hosted) {
	if !i.touched {
		i.touched = true
		h.order = append(h.order, i)
	}
}

// remove takes out an instance that has died, with what it was about to do.
func (h *host) remove(i *hosted) {
	delete(h.instances, i.reply.Instance)
	for k, o := range h.order {
		if o == i {
			h.order = append(h.order[:k], h.order[k+1:]...)
			break
		}
	}
}

// guard runs the module's code; a panic becomes the instance's last word.
func (i *hosted) guard(f func()) {
	if i.failed {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			i.failed = true
			i.reply.Bail(fmt.Sprint(p))
		}
	}()
	f()
}

// decide lets every instance with an event decide and writes the reply.
func (h *host) decide(out *bufio.Writer) {
	for _, i := range h.order {
		i.guard(func() { i.module.Decide(h.now) })
		out.Write(i.reply.TakeLines())
		i.touched = false
	}
	h.order = h.order[:0]
	out.WriteString("YIELD\n")
}
