// Package rafttransport carries the voters' raft messages over TCP. It takes no
// decisions: a message is sent once or lost, and raft sends again what matters.
//
// A [Transport] owns its listener, one queue for each peer, and every connection.
// Queues are bounded; a full one drops what is added to it. Connections carry
// messages in one direction only, so that each pair of voters has two.
//
// A connection is a sequence of frames, each a length of four bytes, big endian,
// and as many bytes. The first frame is a [Hello] in JSON, which names the sender
// and the receiver; a receiver closes a connection whose Hello is not from one of
// its peers to itself. Every further frame is one message.
//
// The connection to a peer is in one of these states:
//
//	state         event                          next state
//	disconnected  a message is queued, dialled   connected
//	disconnected  the dial failed                backing off (the message is lost)
//	backing off   the backoff has passed         disconnected
//	connected     the peer closed it             disconnected
//	connected     a write failed                 disconnected (the message is lost)
//	any           SetPeers dropped the peer      ended
//	any           Close                          ended
//
// Goroutines: one accepts, one receives on each inbound connection, one sends to
// each peer, and one watches each outbound connection for its end. Close waits for
// all of them.
package rafttransport
