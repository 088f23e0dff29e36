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

// connectionModel models a connection as its balancer sees it.
type connectionModel struct {
	t        *testing.T
	steps    *randomsteps.Source
	frontend *Frontend

	caller  *frontendtest.Caller
	served  <-chan struct{}      // closed when the frontend's Serve returns
	replies <-chan map[int32]int // receives the number of replies by sequence number when the connection has closed

	seq       int32          // of the last call
	calls     map[int32]bool // calls sent, each of which gets one reply
	cancelled map[int32]bool // calls that may get no reply
	hanging   int            // calls whose runs do not complete
	notified  bool           // the peer was told to send no new request
	closed    bool           // the connection has closed
	silent    bool           // the balancer has sent nothing
	openedAt  time.Time
}

const (
	maxModelCalls   = 60
	maxHangingCalls = 3
	modelSteps      = 6
)

// FuzzConnection checks a connection from a balancer against a model. The connection may be
// silent, have pending or cancelled calls, or have a notified peer. The frontend may close it
// only if the peer was notified before or was silent for too long, or if a sequence number is
// wrong.
// Each call must get one reply; a cancelled one may get none.
func FuzzConnection(f *testing.F) {
	randomsteps.Fuzz(f, func(t *testing.T, steps *randomsteps.Source) {
		frontend := newFrontend(frontendtest.NewBackend(t))
		caller, served := frontendtest.Dial(frontend.Serve)
		m := &connectionModel{
			t: t, steps: steps, frontend: frontend, caller: caller, served: served, replies: countReplies(caller),
			calls: make(map[int32]bool), cancelled: make(map[int32]bool), silent: true, openedAt: time.Now(),
		}
		for steps.More() && m.seq < maxModelCalls && !m.closed {
			m.step()
		}
		if !m.closed && !m.silent {
			m.breakSequence()
		}
		<-served
		m.checkReplies(<-m.replies)
	})
}

// countReplies reads replies until the connection closes. The channel then receives their
// number by sequence number.
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

// step performs one random step.
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

// fields returns valid fields for the next call.
func (m *connectionModel) fields(class string) map[string]string {
	return map[string]string{
		protocol.FieldClass:          class,
		protocol.FieldAttemptID:      fmt.Sprintf("%016x", m.seq+1),
		protocol.FieldCaller:         "1",
		protocol.FieldReservedMemory: "1",
		protocol.FieldRank:           "0",
	}
}

// call sends a call, whose message has the next sequence number.
func (m *connectionModel) call(message []byte) {
	m.seq++
	m.calls[m.seq] = true
	m.send(message)
}

// callThatHangs sends a call whose run does not complete. After maxHangingCalls of them it
// sends a call with an unknown class instead.
func (m *connectionModel) callThatHangs() {
	if m.hanging >= maxHangingCalls {
		m.call(fakes.AppendExecute(nil, m.seq+1, m.fields("okänd"), nil))
		return
	}
	m.hanging++
	m.call(fakes.AppendExecute(nil, m.seq+1, m.fields("givarhistorik"), []byte(frontendtest.HangingBody)))
}

// send sends a message and waits until the frontend has handled it.
func (m *connectionModel) send(message []byte) {
	m.caller.Send(message)
	synctest.Wait()
}

// waitAndDrain calls NotifyDraining after a random time, and checks whether the connection
// was allowed to close before.
func (m *connectionModel) waitAndDrain() {
	time.Sleep(time.Duration(m.steps.Pick(30)) * 100 * time.Millisecond)
	m.frontend.NotifyDraining()
	synctest.Wait()
	select {
	case <-m.served:
		m.closed = true
		silentForTooLong := m.silent && time.Since(m.openedAt) >= firstMessageTimeout
		if !m.notified && !silentForTooLong {
			m.t.Error("the connection closed before the peer was notified")
		}
	default:
		m.notified = true
	}
}

// breakSequence waits for the deadline of the class and sends two calls, the second with a
// sequence number that was used before or that skips one.
func (m *connectionModel) breakSequence() {
	time.Sleep(5 * time.Second)
	m.call(fakes.AppendCheck(nil, m.seq+1, false))
	m.send(fakes.AppendCheck(nil, m.seq+int32(2*m.steps.Pick(2)), false))
}

// checkReplies checks the number of replies to each call.
func (m *connectionModel) checkReplies(replies map[int32]int) {
	delete(replies, 0) // the notification
	for seq := range m.calls {
		got := replies[seq]
		if got != 1 && (got != 0 || !m.cancelled[seq]) {
			m.t.Errorf("call %d got %d replies, want 1 (cancelled: %t)", seq, got, m.cancelled[seq])
		}
		delete(replies, seq)
	}
	if len(replies) > 0 {
		m.t.Errorf("replies to sequence numbers that were not sent: %v", replies)
	}
}
