package downstream

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/protocol/lines"
)

// listen opens a listening TCP socket on the loopback interface.
func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // the error is ignored: some tests close it earlier
	return l
}

// readPost reads the next message from a pool.
func readPost(r *bufio.Reader) (words []string, err error) {
	words, _, err = lines.Read(r, func(w []string) bool { return w[0] == "post" })
	return words, err
}

// replyTo writes a reply. It ignores errors, because the pool may have closed the connection.
func replyTo(nc net.Conn, id, reply string) { _, _ = fmt.Fprintf(nc, "%s %s\r\n", id, reply) }

// outcomes is a CallObserver that records each call's number, outcome and reply.
type outcomes chan string

// CallCompleted implements CallObserver.
func (o outcomes) CallCompleted(_ string, number int, outcome dispatch.CallOutcome, reply []byte) {
	o <- fmt.Sprintf("%d: %d %q", number, outcome, reply)
}

// TestPool_ReportsReplyCutAtEveryByteAsReset closes the connection after each byte of a reply.
// Each call must be completed once: with ConnectionReset if the reply was incomplete, else
// with the reply that the dependency sent. The next call must use another connection.
func TestPool_ReportsReplyCutAtEveryByteAsReset(t *testing.T) {
	l := listen(t)
	const reply = "r posted 5\r\nhello\r\n"
	go func() {
		for n := 0; ; n++ {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := readPost(bufio.NewReader(nc)); err != nil {
				t.Errorf("reading call %d: %v", n, err)
			}
			if _, err := nc.Write([]byte(reply[:min(n, len(reply))])); err != nil {
				t.Errorf("writing reply %d: %v", n, err)
			}
			if err := nc.Close(); err != nil {
				t.Errorf("closing connection %d: %v", n, err)
			}
		}
	}()
	pool, got := NewPool(l.Addr().String()), make(outcomes, 2)
	pool.Attach(got)
	for n := range len(reply) + 1 {
		want := fmt.Sprintf("%d: %d %q", n, decision.ConnectionReset, "")
		if n == len(reply) {
			want = fmt.Sprintf("%d: %d %q", n, decision.Succeeded, "hello")
		}
		pool.Call("r", n, time.Minute, []byte("body"))
		if completed := <-got; completed != want {
			t.Errorf("reply cut after %d bytes: call completed with %s, want %s", n, completed, want)
		}
	}
	if len(got) > 0 {
		t.Errorf("a call was completed twice, the second time with %s", <-got)
	}
}
