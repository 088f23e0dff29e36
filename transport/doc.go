// Package transport owns connections: listening sockets and their limits, the states of
// a connection, its deadlines, bounded writes, and the redialling of outgoing ones. It
// knows no protocol: a caller hands [Conn.Serve] a function that reads one message.
//
// Words and division follow net/http. [Server] accepts and counts connections
// (server.go, listener.go). [Conn] is one connection: what other goroutines ask of it
// (conn.go), its states and what is decided from them (state.go), the loop that reads
// (serve.go, source.go) and writes (write.go), and how it ends (ending.go). [Redialer]
// keeps one outgoing connection (redial.go).
package transport
