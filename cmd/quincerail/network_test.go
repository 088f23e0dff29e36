package main_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"testing"
)

// dial opens a connection that is closed when the test ends.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	must(t, 0, err)
	t.Cleanup(func() { _ = conn.Close() }) // it may be closed already
	return conn
}

// listeningSocket opens a listening socket that processes can inherit. It is closed when the
// test ends.
func listeningSocket(t *testing.T) *os.File {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", anyPort)
	must(t, 0, err)
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		t.Fatalf("listener has type %T, want *net.TCPListener", l)
	}
	socket, err := tcp.File()
	must(t, 0, err)
	t.Cleanup(func() {
		must(t, 0, socket.Close())
		must(t, 0, l.Close())
	})
	return socket
}

// scrape returns the metrics page at a URL.
func scrape(t *testing.T, url string) string {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	must(t, 0, err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	page, err := io.ReadAll(response.Body)
	must(t, 0, err)
	must(t, 0, response.Body.Close())
	return string(page)
}

// kill kills a node's process, and waits until it has exited.
func (n *node) kill(t *testing.T) {
	t.Helper()
	must(t, 0, n.cmd.Process.Kill())
	var exit *exec.ExitError
	if err := <-n.exited; !errors.As(err, &exit) {
		t.Errorf("a killed process exits with error %v, want an *exec.ExitError", err)
	}
}
