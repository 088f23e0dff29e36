package transport

import "errors"

// ErrMessageSkipped is returned by the handler of Conn.Serve after it has skipped bytes
// that are not a message. The connection then reads the bytes that follow. It closes after
// a short timeout if no message follows and no response is pending.
var ErrMessageSkipped = errors.New("skipped bytes that are not a message")

// ErrPeerNotReading is the CloseInfo.Err of an aborted connection: the peer left too many
// bytes unread, or Conn.Abort was called for any reason. If the abort interrupts a write,
// CloseInfo.Err is the error of that write instead.
var ErrPeerNotReading = errors.New("connection aborted: peer stopped reading")

// ErrAbandoned is the CloseInfo.Err of a connection that Conn.Abandon closed, or that its
// Server reclaimed because the peer withheld something while others waited.
var ErrAbandoned = errors.New("connection abandoned before the peer sent a complete message")
