package thrift

import (
	"bufio"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"quincerail.example/quincerail/internal/fakes"
	"quincerail.example/quincerail/internal/frontendtest"
	"quincerail.example/quincerail/internal/randomsteps"
	protocol "quincerail.example/quincerail/protocol/thrift"
)

// connectionModel is what a balancer knows of its connection.
type connectionModel struct {
	t     *testing.T
	steps *randomsteps.Source
	front *Frontend

	caller  *frontendtest.Caller
	ended   <-chan struct{}
	replies <-chan map[int32]int // by sequence number, once the connection has ended

	seq       int32
	owed      map[int32]bool // calls that get one reply
	cancelled map[int32]bool // of them, those that may get none
	hanging   int            // calls whose runs don't end
	notified  bool
	over      bool // the connection has ended
	silent    bool // nothing was sent
	openedAt  time.Time
}

const (
	maxModelCalls   = 60
	maxHangingCalls = 3
	modelSteps      = 6
)

// FuzzConnection checks a balancer's connection against a model: silent, open with
// calls that wait or were cancelled, notified, and ended, by the front's own choice only
// if the peer was notified before or silent for too long, or by a broken sequence. Each
// call has one reply; one that was cancelled may have none.
func FuzzConnection(f *testing.F) {
	randomsteps.Fuzz(f, func(t *testing.T, steps *randomsteps.Source) {
		front := newFrontend(frontendtest.NewBackend(t))
		caller, ended := frontendtest.Dial(front.Serve)
		m := &connectionModel{
			t: t, steps: steps, front: front, caller: caller, ended: ended, replies: countReplies(caller),
			owed: make(map[int32]bool), cancelled: make(map[int32]bool), silent: true, openedAt: time.Now(),
		}
		for steps.More() && m.seq < maxModelCalls && !m.over {
			m.step()
		}
		if !m.over && !m.silent {
			m.breakSequence()
		}
		<-ended
		m.checkReplies(<-m.replies)
	})
}

// countReplies reads replies until the connection ends.
func countReplies(caller *frontendtest.Caller) <-chan map[int32]int {
	result := make(chan map[int32]int, 1)
	go func() {
		replies := make(map[int32]int)
		defer func() { result <- replies }()
		for r := bufio.NewReader(caller); ; {
			reply, err := fakes.ReadReply(r)
			if err != nil {
				return
			}
			replies[reply.Seq]++
		}
	}()
	return result
}

func (m *connectionModel) step() {
	step := m.steps.Pick(modelSteps)
	m.silent = m.silent && step == 5
	switch step {
	case 0, 1:
		m.call(fakes.AppendExecute(nil, m.seq+1, m.fields("givarhistorik"), nil))
	case 2:
		m.callThatHangs()
	case 3:
		target := int32(1 + m.steps.Pick(int(m.seq)+1))
		m.cancelled[target] = m.cancelled[target] || target <= m.seq
		m.send(fakes.AppendInterrupt(nil, target))
	case 4:
		m.call(fakes.AppendCheck(nil, m.seq+1, m.steps.Pick(2) == 1))
	case 5:
		m.waitAndDrain()
	}
}

// fields are those of the next call.
func (m *connectionModel) fields(class string) map[string]string {
	return map[string]string{
		protocol.FieldClass:          class,
		protocol.FieldAttemptID:      fmt.Sprintf("%016x", m.seq+1),
		protocol.FieldCaller:         "1",
		protocol.FieldReservedMemory: "1",
		protocol.FieldRank:           "0",
	}
}

// call sends a call with the next number.
func (m *connectionModel) call(message []byte) {
	m.seq++
	m.owed[m.seq] = true
	m.send(message)
}

// callThatHangs sends a call whose run does not end, or, after some of these, one of an
// unknown class.
func (m *connectionModel) callThatHangs() {
	if m.hanging >= maxHangingCalls {
		m.call(fakes.AppendExecute(nil, m.seq+1, m.fields("okänd"), nil))
		return
	}
	m.hanging++
	m.call(fakes.AppendExecute(nil, m.seq+1, m.fields("givarhistorik"), []byte(frontendtest.HangingBody)))
}

func (m *connectionModel) send(message []byte) {
	m.caller.Send(message)
	synctest.Wait()
}

// waitAndDrain has the front notify the peer after a while.
func (m *connectionModel) waitAndDrain() {
	time.Sleep(time.Duration(m.steps.Pick(30)) * 100 * time.Millisecond)
	m.front.NotifyDraining()
	synctest.Wait()
	select {
	case <-m.ended:
		m.over = true
		silentForTooLong := m.silent && time.Since(m.openedAt) >= firstMessageTimeout
		if !m.notified && !silentForTooLong {
			m.t.Error("it ended before the peer was notified")
		}
	default:
		m.notified = true
	}
}

// breakSequence ends the connection, beyond the class's deadline, by a number that came
// before or one that is left out.
func (m *connectionModel) breakSequence() {
	time.Sleep(5 * time.Second)
	m.call(fakes.AppendCheck(nil, m.seq+1, false))
	m.send(fakes.AppendCheck(nil, m.seq+int32(2*m.steps.Pick(2)), false))
}

func (m *connectionModel) checkReplies(replies map[int32]int) {
	delete(replies, 0) // the notification
	for seq := range m.owed {
		got := replies[seq]
		if got != 1 && (got != 0 || !m.cancelled[seq]) {
			m.t.Errorf("call %d: %d replies", seq, got)
		}
		delete(replies, seq)
	}
	if len(replies) > 0 {
		m.t.Errorf("replies to nothing: %v", replies)
	}
}
