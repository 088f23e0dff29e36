// Package transport manages connections: it accepts them up to a limit, tracks their
// states and deadlines, bounds their writes, and redials outgoing ones. It knows no
// protocol: [Conn.Serve] calls a handler that reads one message.
//
// Names follow net/http. [Server] accepts and counts connections (server.go, listener.go).
// [Conn] is one connection: the methods for other goroutines (conn.go), the state machine
// and the rules for closing (state.go), the loop that reads (serve.go, source.go) and
// writes (write.go), and the half-close with the close reasons (ending.go). [Redialer]
// keeps one outgoing connection open (redial.go).
package transport
