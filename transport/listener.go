package transport

import (
	"fmt"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// InheritListener returns a listener for the listening socket whose descriptor the process
// inherited. It closes fd. Closing the listener leaves the socket open for other processes
// that hold it. It returns an error if fd is not open or is not a listening socket.
func InheritListener(fd int) (net.Listener, error) {
	f := os.NewFile(uintptr(fd), "listener")
	if f == nil {
		return nil, fmt.Errorf("listening socket: descriptor %d is invalid", fd)
	}
	defer func() { _ = f.Close() }() // net.FileListener has duplicated the descriptor
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("listening socket: descriptor %d: %w", fd, err)
	}
	return l, nil
}

// hasPendingConn reports whether the accept queue of a listener holds a connection. It
// reports true if polling fails, because the queue may then hold one.
func hasPendingConn(l net.Listener) bool {
	pending := false
	withDescriptor(l, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		pending = err != nil || n == 1 && fds[0].Revents&unix.POLLIN != 0
	})
	return pending
}

// closeAcceptQueue makes the system drop new connections of a listener while its accept queue
// is not empty. If that fails, the system still queues them.
func closeAcceptQueue(l net.Listener) {
	withDescriptor(l, func(fd int) { _ = unix.Listen(fd, 0) })
}

// withDescriptor calls f with the descriptor of a listener. It does nothing if the listener
// has no descriptor or is closed.
func withDescriptor(l net.Listener, f func(fd int)) {
	conn, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // fails only for a closed listener, whose accept queue is empty
}
