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

// completions passes on how calls ended.
type completions chan decision.Outcome

// CallCompleted implements CallObserver.
func (c completions) CallCompleted(_ string, _ int, end decision.Outcome, _ []byte) { c <- end }

// BenchmarkPool measures a call and its reply.
func BenchmarkPool(b *testing.B) {
	pool, done := NewPool(""), make(completions)
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
	ids := []string{"a", "b"} // a run's next call goes over another connection
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		pool.Call(ids[i%2], i, time.Second, []byte("body"))
		if end := <-done; end != decision.Succeeded {
			b.Fatalf("call %d ended with %v", i, end)
		}
	}
}
