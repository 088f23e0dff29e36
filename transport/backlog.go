package transport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasWaiting reports whether connections wait in a listener's accept queue. Where that can't
// be told, they may.
func hasWaiting(l net.Listener) bool {
	waiting := false
	control(l, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		waiting = err != nil || n == 1 && fds[0].Revents&unix.POLLIN != 0
	})
	return waiting
}

// control calls f with a listener's descriptor, if it has one.
func control(l net.Listener, f func(fd int)) {
	conn, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // a listener that has closed has nothing waiting
}
