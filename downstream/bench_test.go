package downstream

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/protocol/lines"
)

// outcomeChan is a CallObserver that sends the outcomes of calls to a channel.
type outcomeChan chan decision.Outcome

// CallCompleted implements CallObserver.
func (c outcomeChan) CallCompleted(_ string, _ int, outcome decision.Outcome, _ []byte) { c <- outcome }

// BenchmarkPool measures one call with its reply over an in-memory connection.
func BenchmarkPool(b *testing.B) {
	pool, done := NewPool(""), make(outcomeChan)
	pool.Attach(done)
	pool.connect = func(string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			for r := bufio.NewReader(far); ; {
				words, _, err := lines.Read(r, func(w []string) bool { return w[0] == "post" })
				if err != nil {
					return
				}
				if _, err := fmt.Fprintf(far, "%s posted 2\r\nok\r\n", words[1]); err != nil {
					return
				}
			}
		}()
		return near, nil
	}
	ids := []string{"a", "b"} // two runs, because consecutive calls of a run use different connections
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		pool.Call(ids[i%2], i, time.Second, []byte("body"))
		if outcome := <-done; outcome != decision.Succeeded {
			b.Fatalf("call %d: outcome %v, want %v", i, outcome, decision.Succeeded)
		}
	}
}
