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

// forwardConnection forwards a connection in both directions until it ends.
// Responses on it get no faults of their own: they belong to the link's direction.
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
		_, _ = io.Copy(in, out) // its error is the connection's end
		closeAll(in)
	}()
	l.forwardStream(in, out)
	if tcp, ok := out.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the connection may have ended already
	}
	<-responsesDone
}

// track has closeConnections end connections.
func (l *Link) track(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		l.conns[conn] = true
	}
}

func (l *Link) release(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		delete(l.conns, conn)
		closeAll(conn)
	}
}

// forwardStream forwards messages until the connection ends or is partitioned.
// Frames may overtake each other; bytes without frames stay in order.
func (l *Link) forwardStream(in io.Reader, out net.Conn) {
	var writing sync.Mutex // one write at a time
	var deliveries sync.WaitGroup
	defer deliveries.Wait()
	inOrder := true // the first frame is a handshake
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
				_, _ = out.Write(message) // lost if the connection has ended
			})
		}
	}
}

// deliverNow writes a message once, after the first delay if there is any. It
// returns false where the connection has ended.
func deliverNow(out net.Conn, message []byte, delays []time.Duration) bool {
	if len(delays) > 0 {
		time.Sleep(delays[0])
	}
	_, err := out.Write(message)
	return err == nil
}

// readMessage reads one frame, or what there is where the link is not framed.
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
		return 0, fmt.Errorf("faultproxy: a frame of %d bytes", length)
	}
	_, err := io.ReadFull(in, buffer[frameHeaderBytes:end])
	return end, err
}
