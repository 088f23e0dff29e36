// Package rafttransport carries the voters' raft messages over TCP. It never
// retries a message: a message is sent once or lost, and raft repeats messages
// where necessary.
//
// A [Transport] owns its listener, one send queue per peer, and all connections.
// Send queues are bounded, and messages for a full queue are dropped. A connection
// carries messages in one direction, so each pair of voters has two.
//
// A connection is a sequence of frames. A frame is the length of its payload, as a
// four-byte big-endian integer, and the payload. The first frame is a [Hello] in JSON,
// which names the sender and the receiver. The receiver closes the connection if
// the Hello is not from one of its peers to itself. Every further frame is one
// message.
//
// The connection to a peer has one of these states:
//
//	state         event                           next state
//	disconnected  message queued, dial succeeded  connected
//	disconnected  message queued, dial failed     backing off (the message is lost)
//	backing off   the backoff has passed          disconnected
//	connected     the peer closed the connection  disconnected
//	connected     a write failed                  disconnected (the message is lost)
//	any           SetPeers removed the peer       closed
//	any           Close                           closed
//
// Goroutines: one accepts connections, one receives on each inbound connection,
// one sends to each peer, and one waits for the peer to close each outbound
// connection. Close waits for all of them.
package rafttransport
