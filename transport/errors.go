package transport

import "time"

// failurePause is how long a connection rests after a read or write that failed and may be
// tried again.
const failurePause = 2 * time.Millisecond
