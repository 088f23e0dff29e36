package thrift

import (
	"fmt"

	protocol "quincerail.example/quincerail/protocol/thrift"
)

// maxOpenRequests bounds the open requests and health checks on one connection.
const maxOpenRequests = 32

// errTooManyOpen rejects a call beyond maxOpenRequests.
var errTooManyOpen = fmt.Errorf("over %d open requests", maxOpenRequests)

// checkOpenLocked returns an error if no further request or check may be opened. The caller holds
// mu.
func (c *connection) checkOpenLocked() error {
	if len(c.seqByRequest)+c.pendingChecks >= maxOpenRequests {
		return errTooManyOpen
	}
	return nil
}

// addOpenRequest records an open request. It returns an error if too many requests are open or
// if the ID is in use.
func (c *connection) addOpenRequest(id string, seq int32) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkOpenLocked(); err != nil {
		return err
	}
	if _, ok := c.seqByRequest[id]; ok {
		return fmt.Errorf("%s %q is open", protocol.FieldAttemptID, id)
	}
	c.seqByRequest[id], c.requestBySeq[seq] = seq, id
	return nil
}

// removeOpenRequestLocked removes an open request. The caller holds mu.
func (c *connection) removeOpenRequestLocked(id string, seq int32) {
	delete(c.seqByRequest, id)
	delete(c.requestBySeq, seq)
}

// failOpenRequests sends a fault for each open request when the connection closes, reports
// to the core that their caller has disconnected, and returns their IDs. A peer that has
// shut down only its write side receives the faults.
func (c *connection) failOpenRequests() (ids []string) {
	c.mu.Lock()
	unanswered := c.seqByRequest
	c.seqByRequest, c.requestBySeq = make(map[string]int32), make(map[int32]string)
	for _, seq := range unanswered {
		c.conn.Send(protocol.AppendFault(nil, seq, nil))
	}
	c.mu.Unlock()
	for id := range unanswered {
		c.core.CallerDisconnected(id, c)
		ids = append(ids, id)
	}
	return ids
}

// failIncompleteCall sends a fault for a call of execute of which only a part has arrived when
// the connection is abandoned, because the rest may be on its way.
func (c *connection) failIncompleteCall() {
	if c.input == nil {
		return
	}
	head, ok := c.reader.IncompleteCall(c.input)
	if ok && head.Name == methodExecute && c.sequence.recordCall(head.Seq) != duplicate {
		c.conn.Send(protocol.AppendFault(nil, head.Seq, nil))
	}
}
