package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"quincerail.example/quincerail/internal/simwire"
)

// bufferSize is that of the input and of the output, in bytes.
const bufferSize = 1 << 20

// server hosts instances, and passes batches of events to them.
type server struct {
	out       *bufio.Writer
	instances map[int64]*instance
	inBatch   bool
	now       time.Duration // of the batch
	addressed []*instance   // those with an event in the batch, in the order of their first
}

// serve reads batches of events and writes a reply to each, until the input ends. An
// error names the line that it is about.
func serve(r io.Reader, w io.Writer) error {
	in := bufio.NewReaderSize(r, bufferSize)
	s := &server{out: bufio.NewWriterSize(w, bufferSize), instances: make(map[int64]*instance)}
	for number := 1; ; number++ {
		line, err := in.ReadString('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("reading line %d: %w", number, err)
		}
		if err != nil && line == "" {
			return s.checkEnd(number)
		}
		if err := s.handleLine(number, strings.TrimRight(line, "\r\n")); err != nil {
			return err
		}
	}
}

// checkEnd tells whether the input may end here.
func (s *server) checkEnd(number int) error {
	if s.inBatch {
		return fmt.Errorf("line %d: the input ends inside a batch", number)
	}
	return nil
}

// handleLine takes in one line, and replies if it ends a batch. Empty lines are ignored.
func (s *server) handleLine(number int, line string) error {
	if line == "" {
		return nil
	}
	message, err := simwire.Parse(line)
	if err == nil {
		err = s.handle(message)
	}
	if err != nil {
		return fmt.Errorf("line %d: %w", number, err)
	}
	if message.Name != simwire.BatchEnd {
		return nil
	}
	if err := s.reply(); err != nil {
		return fmt.Errorf("writing a reply: %w", err)
	}
	return nil
}

// handle takes in one message. Those of names that are not known come from a later
// version of the wire, and are ignored.
func (s *server) handle(m *simwire.Message) error {
	switch m.Name {
	case simwire.BatchStart:
		return s.startBatch(m)
	case simwire.BatchEnd:
		return s.endBatch()
	case simwire.Start, simwire.Stop, simwire.RequestRead, simwire.RunDone, simwire.CallerGone,
		simwire.CallNeeded, simwire.CallDone, simwire.Drain, simwire.TimerDue:
		if !s.inBatch {
			return fmt.Errorf("%s outside a batch", m.Name)
		}
		return s.handleEvent(m)
	default:
		return nil
	}
}

func (s *server) startBatch(m *simwire.Message) error {
	if s.inBatch {
		return errors.New("CLOCK inside a batch")
	}
	s.inBatch, s.now = true, m.Time()
	return m.Err()
}

func (s *server) endBatch() error {
	if !s.inBatch {
		return errors.New("GO without CLOCK")
	}
	s.inBatch = false
	return nil
}

// handleEvent takes in an event of an instance. Events of instances that have died are
// ignored.
func (s *server) handleEvent(m *simwire.Message) error {
	id := m.InstanceID()
	if err := m.Err(); err != nil {
		return err
	}
	switch m.Name {
	case simwire.Start:
		return s.start(id, m)
	case simwire.Stop:
		s.remove(id)
		return nil
	}
	i := s.instances[id]
	if i == nil {
		return nil
	}
	event, err := readEvent(m, s.now)
	if err != nil {
		return err
	}
	s.address(i)
	i.do(event)
	return nil
}

// start makes an instance, in place of a former one of its id.
func (s *server) start(id int64, m *simwire.Message) error {
	seed := m.Seed()
	settings, err := m.Settings()
	if err = errors.Join(m.Err(), err); err != nil {
		return fmt.Errorf("HELLO: %w", err)
	}
	s.remove(id)
	i := newInstance(id)
	s.instances[id] = i
	s.address(i)
	i.start(settings, seed)
	return nil
}

// remove takes out an instance that has died, with what it was about to do.
func (s *server) remove(id int64) {
	i := s.instances[id]
	if i == nil {
		return
	}
	delete(s.instances, id)
	for k, other := range s.addressed {
		if other == i {
			s.addressed = append(s.addressed[:k], s.addressed[k+1:]...)
			return
		}
	}
}

// address notes that an instance has an event in this batch.
func (s *server) address(i *instance) {
	if !i.addressed {
		i.addressed = true
		s.addressed = append(s.addressed, i)
	}
}

// reply lets every instance with an event decide, and writes what they do.
func (s *server) reply() error {
	for _, i := range s.addressed {
		i.addressed = false
		if _, err := s.out.Write(i.decide(s.now)); err != nil {
			return err
		}
	}
	s.addressed = s.addressed[:0]
	if _, err := s.out.WriteString(simwire.EndOfReply + "\n"); err != nil {
		return err
	}
	return s.out.Flush()
}
