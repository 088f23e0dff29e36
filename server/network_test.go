package server_test

import (
	"context"
	"net"
	"testing"
	"time"
)

// connectTimeout bounds the wait for a connection.
const connectTimeout = 20 * time.Second

// tryDial opens a connection.
func tryDial(address string) (*net.TCPConn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, net.UnknownNetworkError(conn.LocalAddr().Network())
	}
	return tcp, nil
}

// dial opens a connection until the test ends.
func dial(t testing.TB, address string) *net.TCPConn {
	t.Helper()
	conn := must(tryDial(address))(t)
	t.Cleanup(func() { closeConn(conn) })
	return conn
}

// listen opens a listener on any port until the test ends.
func listen(t testing.TB) *net.TCPListener {
	t.Helper()
	l := must((&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0"))(t)
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		t.Fatalf("a listener of type %T", l)
	}
	t.Cleanup(func() { _ = tcp.Close() }) // a server may have closed it
	return tcp
}

// closeConn closes a connection that may have ended before.
func closeConn(conn net.Conn) { _ = conn.Close() }

// mustDo fails the test where something that can't fail does.
func mustDo(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
