package guard

import (
	"errors"
	"slices"
	"syscall"
)

// The reasons for which a read or write of a connection is not tried again.
var (
	ErrEnded       = errors.New("guard: the connection has ended")
	ErrKeepFailing = errors.New("guard: the connection fails again and again")
)

// MaxFailures is how often in a row a read or write may fail and be tried again.
const MaxFailures = 500

// endings lists the errors that prove that a connection has ended, or never was one. After
// any other a socket may still be well: Linux reports some of them once for what happened
// to a packet, others for want of a resource, and a connection that has really ended says
// so at the next call.
var endings = []syscall.Errno{
	syscall.ECONNRESET, syscall.EPIPE, syscall.ENOTCONN, syscall.ECONNABORTED, syscall.ESHUTDOWN,
	syscall.EBADF, syscall.ENOTSOCK, syscall.EINVAL, syscall.EFAULT,
}

// MayTryAgain decides whether a read or write that has failed is tried again, after so many
// failures in a row with this one. An error that is no system call's is final.
func MayTryAgain(err error, failures int) error {
	var errno syscall.Errno
	switch {
	case !errors.As(err, &errno), slices.Contains(endings, errno):
		return ErrEnded
	case failures > MaxFailures:
		return ErrKeepFailing
	}
	return nil
}
