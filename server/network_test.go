package server_test

import (
	"context"
	"net"
	"testing"
	"time"
)

// connectTimeout bounds the time of one connection attempt.
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

// dial opens a connection that is closed at the end of the test.
func dial(t testing.TB, address string) *net.TCPConn {
	t.Helper()
	conn := must(tryDial(address))(t)
	t.Cleanup(func() { closeConn(conn) })
	return conn
}

// listen opens a listener on any free port that is closed at the end of the test.
func listen(t testing.TB) *net.TCPListener {
	t.Helper()
	l := must((&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0"))(t)
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		t.Fatalf("Listen returned a %T, want a *net.TCPListener", l)
	}
	t.Cleanup(func() { _ = tcp.Close() }) // a server may have closed it
	return tcp
}

// closeConn closes a connection and ignores the error, as the peer may have closed it before.
func closeConn(conn net.Conn) { _ = conn.Close() }

// mustSucceed ends the test if err is not nil.
func mustSucceed(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
