package transport

import "errors"

// ErrMessageSkipped is returned by the function given to Conn.Serve after it has skipped
// bytes that are not a message. The connection goes on with what follows, and closes soon
// if nothing follows and no response is pending.
var ErrMessageSkipped = errors.New("no message: passed over")

// ErrPeerNotReading is wrapped by the error of Conn.Serve for an aborted connection: its
// peer left too much unread, or Conn.Abort was called, whatever its caller's reason.
var ErrPeerNotReading = errors.New("peer stopped reading")
