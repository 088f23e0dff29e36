package transport

import "time"

// retryPause is how long a connection rests after a read or write that failed and may be
// tried again.
const retryPause = 2 * time.Millisecond
