package faultproxy

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

const frameHeaderBytes = 4

func (l *Link) acceptConnections() {
	for {
		in, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forwardConnection(in)
	}
}

// forwardConnection forwards a connection in both directions until it is closed. The faults
// apply only to the link's direction; responses pass without faults.
func (l *Link) forwardConnection(in net.Conn) {
	out, err := l.dial("tcp")
	if err != nil {
		closeAll(in)
		return
	}
	l.track(in, out)
	defer l.release(in, out)
	responsesDone := make(chan struct{})
	go func() {
		defer close(responsesDone)
		_, _ = io.Copy(in, out) // an error only means that the connection was closed
		closeAll(in)
	}()
	l.forwardStream(in, out)
	if tcp, ok := out.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the connection may be closed already
	}
	<-responsesDone
}

// track registers connections for closeConnections.
func (l *Link) track(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		l.conns[conn] = true
	}
}

// release closes connections and removes their registration.
func (l *Link) release(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		delete(l.conns, conn)
		closeAll(conn)
	}
}

// forwardStream forwards messages until the connection is closed or the link is partitioned.
// Frames may overtake each other; bytes of an unframed link stay in order.
func (l *Link) forwardStream(in io.Reader, out net.Conn) {
	var writing sync.Mutex // serializes the writes
	var deliveries sync.WaitGroup
	defer deliveries.Wait()
	inOrder := true // for the first frame (the handshake), and always on unframed links
	buffer := make([]byte, bufferBytes)
	for {
		n, err := l.readMessage(in, buffer)
		if err != nil {
			return
		}
		message := slices.Clone(buffer[:n])
		delays, partitioned := l.drawDeliveries()
		if partitioned {
			return
		}
		if inOrder {
			if !deliverNow(out, message, delays) {
				return
			}
			inOrder = !l.framed
			continue
		}
		for _, delay := range delays {
			deliveries.Go(func() {
				time.Sleep(delay)
				writing.Lock()
				defer writing.Unlock()
				_, _ = out.Write(message) // lost if the connection is closed
			})
		}
	}
}

// deliverNow writes a message once, after the first of delays if there is one. It returns
// false if the write fails.
func deliverNow(out net.Conn, message []byte, delays []time.Duration) bool {
	if len(delays) > 0 {
		time.Sleep(delays[0])
	}
	_, err := out.Write(message)
	return err == nil
}

// readMessage reads one frame with its length into buffer, or the available bytes if the
// link is not framed, and returns the number of bytes.
func (l *Link) readMessage(in io.Reader, buffer []byte) (int, error) {
	if !l.framed {
		return in.Read(buffer)
	}
	if _, err := io.ReadFull(in, buffer[:frameHeaderBytes]); err != nil {
		return 0, err
	}
	length := int(binary.BigEndian.Uint32(buffer))
	end := frameHeaderBytes + length
	if end > len(buffer) {
		return 0, fmt.Errorf("faultproxy: frame of %d bytes is too long", length)
	}
	_, err := io.ReadFull(in, buffer[frameHeaderBytes:end])
	return end, err
}
