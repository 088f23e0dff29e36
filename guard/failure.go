package guard

import (
	"errors"
	"slices"
	"syscall"
)

// The reasons for which a read or write of a connection is not tried again.
var (
	ErrConnectionEnded = errors.New("guard: the connection has ended")
	ErrTooManyFailures = errors.New("guard: the connection fails again and again")
)

// MaxConsecutiveFailures is how often in a row a read or write may fail and be tried again.
const MaxConsecutiveFailures = 500

// finalErrnos lists the errors that prove that a connection has ended, or never was one. After
// any other a socket may still be well: Linux reports some of them once for what happened
// to a packet, others for want of a resource, and a connection that has really ended says
// so at the next call.
var finalErrnos = []syscall.Errno{
	syscall.ECONNRESET, syscall.EPIPE, syscall.ENOTCONN, syscall.ECONNABORTED, syscall.ESHUTDOWN,
	syscall.EBADF, syscall.ENOTSOCK, syscall.EINVAL, syscall.EFAULT,
}

// MayRetry decides whether a read or write that has failed is tried again, after so many
// failures in a row with this one. An error that is no system call's is final.
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
