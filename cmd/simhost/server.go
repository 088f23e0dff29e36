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

// bufferSize is the size in bytes of the input buffer and of the output buffer.
const bufferSize = 1 << 20

// server hosts instances, and passes batches of events to them.
type server struct {
	out            *bufio.Writer
	instances      map[int64]*instance // by ID
	inBatch        bool
	now            time.Duration // time of the current batch
	batchInstances []*instance   // those with an event in the batch, in the order of their first events
}

// serve reads batches of events and writes a reply to each, until the input ends. An error
// that the input caused names its line.
func serve(r io.Reader, w io.Writer) error {
	in := bufio.NewReaderSize(r, bufferSize)
	s := &server{out: bufio.NewWriterSize(w, bufferSize), instances: make(map[int64]*instance)}
	for lineNumber := 1; ; lineNumber++ {
		line, err := in.ReadString('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("reading line %d: %w", lineNumber, err)
		}
		if err != nil && line == "" {
			return s.checkEOF(lineNumber)
		}
		if err := s.handleLine(lineNumber, strings.TrimRight(line, "\r\n")); err != nil {
			return err
		}
	}
}

// checkEOF returns an error if the input ends inside a batch.
func (s *server) checkEOF(lineNumber int) error {
	if s.inBatch {
		return fmt.Errorf("line %d: the input ends inside a batch", lineNumber)
	}
	return nil
}

// handleLine handles one line, and replies if it ends a batch. It ignores empty lines.
func (s *server) handleLine(lineNumber int, line string) error {
	if line == "" {
		return nil
	}
	message, err := simwire.Parse(line)
	if err == nil {
		err = s.handleMessage(message)
	}
	if err != nil {
		return fmt.Errorf("line %d: %w", lineNumber, err)
	}
	if message.Name != simwire.BatchEnd {
		return nil
	}
	if err := s.reply(); err != nil {
		return fmt.Errorf("writing a reply: %w", err)
	}
	return nil
}

// handleMessage handles one message. It ignores messages with unknown names, which a later
// version of the protocol may send.
func (s *server) handleMessage(m *simwire.Message) error {
	switch m.Name {
	case simwire.BatchStart:
		return s.startBatch(m)
	case simwire.BatchEnd:
		return s.endBatch()
	case simwire.InstanceStart, simwire.InstanceExit, simwire.RequestRead, simwire.RunDone, simwire.CallerGone,
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

// handleEvent handles an event of an instance. It ignores events of terminated instances.
func (s *server) handleEvent(m *simwire.Message) error {
	id := m.InstanceID()
	if err := m.Err(); err != nil {
		return err
	}
	switch m.Name {
	case simwire.InstanceStart:
		return s.start(id, m)
	case simwire.InstanceExit:
		s.remove(id)
		return nil
	}
	inst := s.instances[id]
	if inst == nil {
		return nil
	}
	event, err := decodeEvent(m, s.now)
	if err != nil {
		return err
	}
	s.addToBatch(inst)
	inst.handleEvent(event)
	return nil
}

// start starts an instance. An instance with the same ID is removed first.
func (s *server) start(id int64, m *simwire.Message) error {
	seed := m.Seed()
	settings, err := m.Settings()
	if err = errors.Join(m.Err(), err); err != nil {
		return fmt.Errorf("HELLO: %w", err)
	}
	s.remove(id)
	inst := newInstance(id)
	s.instances[id] = inst
	s.addToBatch(inst)
	inst.start(settings, seed)
	return nil
}

// remove removes a terminated instance, and discards its actions in the current batch.
func (s *server) remove(id int64) {
	inst := s.instances[id]
	if inst == nil {
		return
	}
	delete(s.instances, id)
	for i, other := range s.batchInstances {
		if other == inst {
			s.batchInstances = append(s.batchInstances[:i], s.batchInstances[i+1:]...)
			return
		}
	}
}

// addToBatch records that an instance has an event in the current batch.
func (s *server) addToBatch(inst *instance) {
	if !inst.inBatch {
		inst.inBatch = true
		s.batchInstances = append(s.batchInstances, inst)
	}
}

// reply lets each instance with an event in the batch decide, and writes the reply.
func (s *server) reply() error {
	for _, inst := range s.batchInstances {
		inst.inBatch = false
		if _, err := s.out.Write(inst.decide(s.now)); err != nil {
			return err
		}
	}
	s.batchInstances = s.batchInstances[:0]
	if _, err := s.out.WriteString(simwire.EndOfReply + "\n"); err != nil {
		return err
	}
	return s.out.Flush()
}
