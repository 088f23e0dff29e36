package transport

import (
	"bufio"
	"io"
	"testing"
	"time"
)

// TestTurn_BoundsMessagesAndBytes guards against a peer that sends at full speed and delays the
// answers to others: its messages, and the bytes of one that never ends, are read in turns, and
// none is lost.
func TestTurn_BoundsMessagesAndBytes(t *testing.T) {
	const turns = 5
	for _, test := range []struct {
		name  string
		size  int // bytes that the peer sends
		read  func(*bufio.Reader) (int, error)
		least time.Duration // that the reading takes
	}{
		{"messages", turns * maxTurnMessages, func(r *bufio.Reader) (int, error) { return r.Discard(1) }, (turns - 1) * turnDuration},
		{"one long message", turns * maxTurnBytes, func(r *bufio.Reader) (int, error) { return r.Discard(turns * maxTurnBytes) }, (turns - 2) * turnDuration},
	} {
		t.Run(test.name, func(t *testing.T) {
			type result struct {
				bytes int
				took  time.Duration
			}
			read := make(chan result, 1)
			listener := listen(t)
			server := NewServer(listener, 1, func(c *Conn) {
				total, began := 0, time.Now()
				_ = c.Serve(func(r *bufio.Reader) error {
					n, err := test.read(r)
					total += n
					if total == test.size {
						read <- result{total, time.Since(began)}
						return io.EOF
					}
					return err
				})
			}, func() {})
			server.LimitTurns()
			go func() { _ = server.Serve() }()
			peer := dial(t, listener.Addr())
			go func() { _, _ = peer.Write(make([]byte, test.size)) }()
			if got := <-read; got.bytes != test.size || got.took < test.least {
				t.Errorf("read %d bytes in %v, want %d in %v or more", got.bytes, got.took, test.size, test.least)
			}
			server.Close()
		})
	}
}
