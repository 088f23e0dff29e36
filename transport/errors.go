package transport

import "errors"

// ErrMessageSkipped is returned by the function given to Conn.Serve after it has skipped
// bytes that are not a message. The connection goes on with what follows, and closes soon
// if nothing follows and no response is pending.
var ErrMessageSkipped = errors.New("no message: passed over")

// ErrPeerNotReading is why a connection ended whose peer left too much unread, or that was
// aborted. Conn.Serve returns an error that wraps it.
var ErrPeerNotReading = errors.New("peer stopped reading")
