package guard

import "time"

// Withheld names what a process waits for while a connection's peer does nothing, or not
// enough. The values appear in metric labels and log attributes.
type Withheld string

// What a peer can withhold.
const (
	NothingWithheld      Withheld = ""
	FirstMessageWithheld Withheld = "first_message"   // it has sent no byte since it connected
	RestWithheld         Withheld = "rest_of_message" // it has sent a part of a message
	ReadingWithheld      Withheld = "reading"         // it does not read what is being written to it
)

// WithheldKinds lists everything that a peer can withhold, for one metric series each.
var WithheldKinds = []Withheld{FirstMessageWithheld, RestWithheld, ReadingWithheld}

// Times after which a connection may be reclaimed.
const (
	reclaimSilentAfter  = 50 * time.Millisecond // since the peer connected
	reclaimStalledAfter = time.Second           // without progress
	reclaimSlowAfter    = 3 * time.Second       // in all, with progress: every peer must be answered or closed by then
)

// PeerWait describes how long a process has waited for the peer of a connection.
type PeerWait struct {
	Withheld      Withheld
	SinceProgress time.Duration // since the peer connected, or a byte was last read or written
	Total         time.Duration // since the peer connected, or the first byte was read or written
	OverLimit     bool          // the connection was accepted over the limit of connections
}

// MayReclaim decides whether a connection may be closed for the benefit of peers that wait for
// a connection.
//
// Inputs: what the peer withholds and for how long. Rule: a connection whose peer withholds
// nothing is kept. Any other is closed once its peer has been given the times above to make
// progress and to finish; over the limit of connections the shortest of them applies, because
// the peer has had more time before the connection was accepted. Reason: the number of
// connections is limited, so without this rule a peer that withholds something would delay the
// answers to others. A peer that sends slowly is of no less use than others, so it is given
// more time than one that sends nothing.
func MayReclaim(w PeerWait) bool {
	switch {
	case w.Withheld == NothingWithheld:
		return false
	case w.OverLimit, w.Withheld == FirstMessageWithheld:
		return w.Total >= reclaimSilentAfter
	}
	return w.SinceProgress >= reclaimStalledAfter || w.Total >= reclaimSlowAfter
}

// MayAbandon decides whether a connection that is being reclaimed may be closed, although a
// message may have arrived in part.
//
// Inputs: whether the socket was read empty, and which responses are pending. Rule: every
// message that has arrived completely is read first, and gets its response. Reason: only an
// incomplete message is the peer's to finish.
func MayAbandon(c ConnectionState) HoldReason {
	switch {
	case !c.SocketDrained:
		return SocketNotDrained
	case c.ResponsesPending:
		return PendingResponses
	}
	return NotHeld
}
