package guard

import (
	"errors"
	"slices"
	"syscall"
)

// The reasons for which a read or write of a connection is not retried.
var (
	ErrConnectionEnded error = &DenialError{"the connection has ended"}
	ErrTooManyFailures error = &DenialError{"the connection fails again and again"}
)

// MaxConsecutiveFailures is how often in a row a read or write may fail and be retried.
const MaxConsecutiveFailures = 500

// finalErrnos lists the errors that prove that a connection has ended, or never was one.
// After any other one the socket may still work: Linux reports some errors once for what
// happened to a packet, others for lack of a resource, and a connection that has really
// ended reports so at the next call.
var finalErrnos = []syscall.Errno{
	syscall.ECONNRESET, syscall.EPIPE, syscall.ENOTCONN, syscall.ECONNABORTED, syscall.ESHUTDOWN,
	syscall.EBADF, syscall.ENOTSOCK, syscall.EINVAL, syscall.EFAULT,
}

// MayRetry decides whether a read or write that has failed is retried.
//
// Inputs: its error, and the number of failures in a row with this one. Rule: an error of
// a system call that proves nothing is retried MaxConsecutiveFailures times; any other
// error is final. Reason: requests on the connection would be lost for a fault that passes.
func MayRetry(err error, failures int) error {
	var errno syscall.Errno
	switch {
	case !errors.As(err, &errno), slices.Contains(finalErrnos, errno):
		return ErrConnectionEnded
	case failures > MaxConsecutiveFailures:
		return ErrTooManyFailures
	}
	return nil
}
