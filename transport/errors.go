package transport

import "errors"

// ErrMessageSkipped is returned by the handler of Conn.Serve after it has skipped bytes
// that are not a message. The connection then reads the bytes that follow. It closes after
// a short timeout if no message follows and no response is pending.
var ErrMessageSkipped = errors.New("skipped bytes that are not a message")

// ErrPeerNotReading is wrapped by the error that Conn.Serve returns for an aborted
// connection. The cause is either a peer that left too many bytes unread, or a call of
// Conn.Abort, for whatever reason.
var ErrPeerNotReading = errors.New("connection aborted: peer stopped reading")
