package program

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestAnnounceHurries guards changes against reports that get no answer: the next
// report goes out at once, and to where the service is by then.
func TestAnnounceHurries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reports := make(chan string, 9)
		a := newAnnouncer("n1", slog.Default())
		a.connect = func(address string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				for r := bufio.NewReader(far); ; {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(req.Body)
					reports <- address + " " + string(body)
				}
			}()
			return near, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		go a.run(ctx, "here")
		began := time.Now()
		want := func(address, word string) {
			t.Helper()
			if got := <-reports; !strings.HasPrefix(got, address) || !strings.Contains(got, word) {
				t.Errorf("report %s, want %s at %s", got, word, address)
			}
			synctest.Wait()
		}
		want("here", "true")
		a.Accepting(false)
		want("here", "false")
		a.move("there")
		want("there", "false")
		if took := time.Since(began); took != 0 {
			t.Errorf("the changes are reported after %v", took)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}
