package faultproxy

import (
	"net"
	"slices"
	"time"
)

// forwardDatagrams forwards datagrams until the socket is closed. It uses one socket to the
// target for each sender.
func (l *Link) forwardDatagrams() {
	buffer := make([]byte, bufferBytes)
	for {
		n, from, err := l.packets.ReadFrom(buffer)
		if err != nil {
			return
		}
		delays, partitioned := l.drawDeliveries()
		if partitioned || len(delays) == 0 {
			continue
		}
		out, err := l.sourceFor(from)
		if err != nil {
			continue
		}
		message := slices.Clone(buffer[:n])
		for _, delay := range delays {
			deliverDatagram(out, message, delay)
		}
	}
}

// deliverDatagram sends a datagram after a delay. The datagram is lost if the socket is
// closed before.
func deliverDatagram(out net.Conn, message []byte, delay time.Duration) {
	send := func() { _, _ = out.Write(message) }
	if delay == 0 {
		send()
		return
	}
	time.AfterFunc(delay, send)
}

// sourceFor returns the socket that forwards the datagrams of the sender from, and opens it
// if necessary.
func (l *Link) sourceFor(from net.Addr) (net.Conn, error) {
	l.mu.Lock()
	out := l.sources[from.String()]
	l.mu.Unlock()
	if out != nil {
		return out, nil
	}
	out, err := l.dial("udp")
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sources[from.String()] = out
	return out, nil
}
