package transport

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// kernelTimeResolution is the precision of the times in TCP_INFO: the longest tick of a kernel
// that keeps them in ticks.
const kernelTimeResolution = 10 * time.Millisecond

// ArrivedBefore returns how long ago the latest bytes from the peer arrived at this machine,
// which may be longer ago than they were read: a connection may have waited to be accepted. It
// returns a lower bound, and 0 if the system does not say.
func (c *Conn) ArrivedBefore() time.Duration {
	info := tcpInfo(c.netConn)
	if info == nil {
		return 0
	}
	return fromKernelMilliseconds(info.Last_data_recv)
}

// countFromConnect makes the connection's age and its first timeout count from its peer's
// connect instead of the accept. It must be called before Serve.
func (c *Conn) countFromConnect() {
	ago, _ := connectedBefore(c.netConn)
	c.createdAt = time.Now().Add(-ago)
}

// connectedBefore returns how long ago the peer of a connection connected to this machine, as a
// lower bound, and false if the system does not say. Nothing may have been sent to the peer
// yet: the kernel counts from the connect until then.
func connectedBefore(nc net.Conn) (ago time.Duration, known bool) {
	info := tcpInfo(nc)
	if info == nil {
		return 0, false
	}
	return fromKernelMilliseconds(info.Last_data_sent), true
}

// fromKernelMilliseconds returns a lower bound of a time in TCP_INFO.
func fromKernelMilliseconds(ms uint32) time.Duration {
	return max(0, time.Duration(ms)*time.Millisecond-kernelTimeResolution)
}

// PeerClosed reports whether the peer has closed the connection or its write side. Messages that
// were not read before that are not to be forwarded, because their sender may have left. The
// result is false if the system does not say. A socket that has received nothing does not count
// as reset: where sockets are emulated, it may never have been connected.
func (c *Conn) PeerClosed() bool {
	info := tcpInfo(c.netConn)
	if info == nil {
		return false
	}
	wasReset := info.State == unix.BPF_TCP_CLOSE && info.Bytes_received > 0
	return wasReset || info.State == unix.BPF_TCP_CLOSE_WAIT
}

// tcpInfo returns the kernel's information about a TCP connection, or nil if there is none.
func tcpInfo(nc net.Conn) (info *unix.TCPInfo) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	err = raw.Control(func(fd uintptr) {
		if got, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = got
		}
	})
	if err != nil {
		return nil
	}
	return info
}
