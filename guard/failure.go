package guard

import (
	"errors"
	"slices"
	"syscall"
)

// MayRetry returns one of these errors if a read or write is not to be retried.
var (
	ErrConnectionEnded error = &DenialError{"the connection has ended"}
	ErrTooManyFailures error = &DenialError{"too many consecutive reads or writes of the connection failed"}
)

// MaxConsecutiveFailures limits how many consecutive failed reads or writes of a connection are
// retried.
const MaxConsecutiveFailures = 500

// finalErrnos lists the errors that prove that a connection has ended, or that the file
// descriptor is not a connection. After any other error the socket may still work: Linux
// reports some errors once because of a single packet, and others for lack of a resource.
// If the connection has ended, the next call reports one of these errors.
var finalErrnos = []syscall.Errno{
	syscall.ECONNRESET, syscall.EPIPE, syscall.ENOTCONN, syscall.ECONNABORTED, syscall.ESHUTDOWN,
	syscall.EBADF, syscall.ENOTSOCK, syscall.EINVAL, syscall.EFAULT,
}

// MayRetry decides whether a failed read or write of a connection is retried.
//
// Inputs: the error, and the number of consecutive failures including this one. Rule: a
// system call's error that isn't in finalErrnos is retried, up to MaxConsecutiveFailures
// times. Any other error is final. Reason: closing the connection because of a transient
// fault would lose the requests on it.
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
