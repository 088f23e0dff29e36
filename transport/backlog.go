package transport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// dropAll is a classic BPF program that accepts no packet.
var dropAll = []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}

// dropNewConnections has the system drop further attempts to connect to a listener,
// without a refusal: a peer tries again by itself, and is refused once the listener has
// closed. Those that have connected stay in the accept queue. So the queue can be
// emptied before the listener closes, and no connection is reset with it. The socket
// must belong to this process alone. It reports whether the system does so.
func dropNewConnections(l net.Listener) bool {
	dropped := false
	control(l, func(fd int) {
		program := unix.SockFprog{Len: uint16(len(dropAll)), Filter: &dropAll[0]}
		dropped = unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program) == nil
	})
	return dropped
}

// hasWaiting reports whether connections wait in a listener's accept queue.
func hasWaiting(l net.Listener) bool {
	waiting := false
	control(l, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		waiting = err == nil && n == 1 && fds[0].Revents&unix.POLLIN != 0
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
