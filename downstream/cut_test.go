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

// ends tells how calls ended, each by its number.
type ends chan string

// CallCompleted implements Caller.
func (e ends) CallCompleted(_ string, number int, end dispatch.CallOutcome, reply []byte) {
	e <- fmt.Sprintf("%d: %d %q", number, end, reply)
}

// TestReplyCutAtEveryByte has the ledger's reply cut off after each of its bytes by
// the connection's end: nothing is known of such a call, and it ends once. Whole,
// it is what the ledger sent. The next call goes over another connection.
func TestReplyCutAtEveryByte(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	const reply = "r posted 5\r\nhello\r\n"
	go func() {
		for n := 0; ; n++ {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			lines.Read(bufio.NewReader(nc), func(w []string) bool { return w[0] == "post" })
			nc.Write([]byte(reply[:min(n, len(reply))]))
			nc.Close()
		}
	}()
	pool, got := NewPool(l.Addr().String()), make(ends, 2)
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
