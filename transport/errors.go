package transport

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

// passing lists errors of a read or write after which a socket may still be well. Linux
// reports some of them once for what happened to a packet, and a connection that has
// really ended reports its end at the next call: the end of the stream, or EPIPE.
var passing = []syscall.Errno{
	syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
	syscall.EHOSTDOWN, syscall.ENETDOWN,
}

// A read or write is tried again so often after such errors in a row, with a pause each.
const (
	maxPassing   = 500
	passingPause = 2 * time.Millisecond
)

// mayPass reports whether an error says nothing certain of the connection.
func mayPass(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(passing, errno)
}
