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

// listen opens a listening socket.
func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // some tests close it before
	return l
}

// readPost reads the next message of a pool.
func readPost(r *bufio.Reader) (words []string, err error) {
	words, _, err = lines.Read(r, func(w []string) bool { return w[0] == "post" })
	return words, err
}

// replyTo writes a reply, which the pool may not wait for any more.
func replyTo(nc net.Conn, id, reply string) { _, _ = fmt.Fprintf(nc, "%s %s\r\n", id, reply) }

// outcomes records how calls ended, each with its number.
type outcomes chan string

// CallCompleted implements CallObserver.
func (o outcomes) CallCompleted(_ string, number int, end dispatch.CallOutcome, reply []byte) {
	o <- fmt.Sprintf("%d: %d %q", number, end, reply)
}

// TestReplyCutAtEveryByte has a reply cut off after each of its bytes by the connection's
// end: nothing is known of such a call, and it ends once. A complete reply is what the
// dependency sent. The next call goes over another connection.
func TestReplyCutAtEveryByte(t *testing.T) {
	l := listen(t)
	const reply = "r posted 5\r\nhello\r\n"
	go func() {
		for n := 0; ; n++ {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := readPost(bufio.NewReader(nc)); err != nil {
				t.Errorf("call %d: %v", n, err)
			}
			if _, err := nc.Write([]byte(reply[:min(n, len(reply))])); err != nil {
				t.Errorf("reply %d: %v", n, err)
			}
			if err := nc.Close(); err != nil {
				t.Errorf("closing %d: %v", n, err)
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
		if end := <-got; end != want {
			t.Errorf("cut after %d bytes: %s, want %s", n, end, want)
		}
	}
	if len(got) > 0 {
		t.Errorf("a call ended twice: %s", <-got)
	}
}
