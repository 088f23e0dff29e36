package server_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"quincerail.example/quincerail/config"
	"quincerail.example/quincerail/internal/fakes"
	"quincerail.example/quincerail/protocol/uwsgi"
)

// littleInputMemory leaves 1 MiB for messages that have not arrived completely.
func littleInputMemory(c *config.Config) { c.MemoryMB, c.MaxDescriptors = 8, 512 }

// requestWithVars returns a request over uwsgi with n further variables of the given size.
func requestWithVars(t *testing.T, n, size int) []byte {
	t.Helper()
	vars := []uwsgi.Var{{Name: "REQUEST_METHOD", Value: "POST"}, {Name: "PATH_INFO", Value: "/kampanjsida"}}
	for range n {
		vars = append(vars, uwsgi.Var{Name: "X", Value: strings.Repeat("x", size)})
	}
	return must(uwsgi.AppendRequest(nil, vars, []byte("body")))(t)
}

// sendPart sends all but the last byte of a request, and waits until the server closes the
// connection or ctx is done.
func sendPart(ctx context.Context, address string, request []byte) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer closeConn(conn)
	defer context.AfterFunc(ctx, func() { closeConn(conn) })()
	if _, err := conn.Write(request[:len(request)-1]); err != nil {
		return
	}
	_, _ = conn.Read(make([]byte, 1)) // any answer, or none
}

// TestInput_MemoryIsBounded guards against a process that is killed for its memory: clients stop
// before the last byte of large requests, together far beyond the memory for such input, and
// connect again when they are closed. The memory in use stays within its limit, and every whole
// request of other clients, also a large one, is served.
func TestInput_MemoryIsBounded(t *testing.T) {
	const (
		requests = 20
		interval = 50 * time.Millisecond
	)
	incompleteExecute := fakes.AppendExecute(nil, 1, map[string]string{"verb": strings.Repeat("x", 11<<10)}, nil)
	for _, test := range []struct {
		frontend frontend
		name     string
		clients  int
		request  []byte
	}{
		{serverFrontends[0], "long fields", 150, incompleteExecute},
		{serverFrontends[1], "long fields", 48, requestWithVars(t, 1, 60_000)},
		{serverFrontends[1], "short fields", 48, requestWithVars(t, 10_000, 1)},
	} {
		t.Run(test.frontend.name+", "+test.name, func(t *testing.T) {
			h := newHarness(t, littleInputMemory)
			ctx, stop := context.WithCancel(t.Context())
			var hostile sync.WaitGroup
			for range test.clients {
				hostile.Go(func() {
					for ctx.Err() == nil {
						sendPart(ctx, test.frontend.address(h), test.request)
					}
				})
			}
			t.Cleanup(func() {
				stop()
				hostile.Wait()
			})
			for n := range requests {
				time.Sleep(interval)
				body := "small"
				if n%2 == 1 { // does not fit into the first read buffer together with its fields
					body = strings.Repeat("x", 2000)
				}
				if o := outcome(t, test.frontend.ask(t, h, "kampanjsida", "", body)); o.Kind != "served" {
					t.Errorf("outcome of another client's request %d = %s, want served", n, o.Kind)
				}
				if stats := h.InputStats(); stats.Used > stats.Capacity {
					t.Errorf("%d bytes of input in use, want at most %d", stats.Used, stats.Capacity)
				}
			}
			if stats := h.InputStats(); stats.Reclaimed+stats.Rejected == 0 {
				t.Error("no connection was reclaimed and no message rejected, want some: the clients sent more than fits")
			}
		})
	}
}

// TestInput_DecodedFieldsCount checks that the memory for a request's decoded fields counts: a
// whole request whose many short fields take more than there is gets a 503 with Retry-After, and
// the next one is served.
func TestInput_DecodedFieldsCount(t *testing.T) {
	h := newHarness(t, func(c *config.Config) { c.MemoryMB = 4 })
	conn := dial(t, h.UWSGIAddr().String())
	_, err := conn.Write(requestWithVars(t, 10_900, 1))
	mustSucceed(t, err)
	response := must(uwsgi.ReadResponse(bufio.NewReader(conn), http.MethodPost))(t)
	hasRetryAfter := false
	for _, header := range response.Headers {
		hasRetryAfter = hasRetryAfter || header.Name == "Retry-After"
	}
	if response.Status != http.StatusServiceUnavailable || !hasRetryAfter {
		t.Errorf("status %d, Retry-After: %t; want 503 with Retry-After", response.Status, hasRetryAfter)
	}
	if o := outcome(t, serverFrontends[1].ask(t, h, "kampanjsida", "", "small")); o.Kind != "served" {
		t.Errorf("outcome of the next request = %s, want served", o.Kind)
	}
	deadline := time.Now().Add(time.Second)
	for h.InputStats().Used > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	if used := h.InputStats().Used; used != 0 {
		t.Errorf("%d bytes of input in use after all connections were closed, want 0", used)
	}
}
