package transport

import (
	"fmt"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// InheritListener takes over the listening socket with a descriptor that the process was
// started with. Closing the listener leaves the socket open for other processes that hold
// it. It is an error if the descriptor is not open or not a listening socket.
func InheritListener(fd int) (net.Listener, error) {
	f := os.NewFile(uintptr(fd), "listener")
	if f == nil {
		return nil, fmt.Errorf("descriptor %d is none", fd)
	}
	defer func() { _ = f.Close() }() // the listener has a copy of the descriptor
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	return l, nil
}

// hasWaiting reports whether connections wait in a listener's accept queue. Where that is
// unknown because polling fails, it reports true.
func hasWaiting(l net.Listener) bool {
	waiting := false
	withDescriptor(l, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		waiting = err != nil || n == 1 && fds[0].Revents&unix.POLLIN != 0
	})
	return waiting
}

// withDescriptor calls f with a listener's descriptor, if it has one and is open.
func withDescriptor(l net.Listener, f func(fd int)) {
	conn, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // it fails for a closed listener, at which nothing waits
}
