package program

import (
	"bufio"
	"context"
	"log"
	"net"
	"time"

	"quincerail.example/quincerail/protocol/announce"
)

const (
	reportEvery  = 700 * time.Millisecond // an entry lapses after 3 s
	reportWithin = 600 * time.Millisecond
)

// announcer reports whether work is taken, steadily and at every change. It
// works alone: an outage of the service touches nothing else.
type announcer struct {
	name    string
	changes chan bool
	moves   chan string
}

func newAnnouncer(name string) *announcer {
	return &announcer{name: name, changes: make(chan bool, 1), moves: make(chan string, 1)}
}

// move has reports go to another address. Only the newest counts.
func (a *announcer) move(address string) {
	select {
	case <-a.moves:
	default:
	}
	a.moves <- address // only the server's reloads put in, one after the other
}

// Accepting implements routing.Presence. Only the newest word counts.
func (a *announcer) Accepting(on bool) {
	select {
	case <-a.changes:
	default:
	}
	a.changes <- on // only the core's goroutine puts in, so there is room
}

// run reports until ctx ends.
func (a *announcer) run(ctx context.Context, address string) {
	accepting, down := true, false
	var nc net.Conn
	var r *bufio.Reader
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		err := func() (err error) {
			if nc == nil {
				if nc, err = net.DialTimeout("tcp", address, reportWithin); err != nil {
					return err
				}
				r = bufio.NewReader(nc)
			}
			nc.SetDeadline(time.Now().Add(reportWithin))
			if _, err = nc.Write(announce.AppendReport(nil, address, a.name, accepting)); err != nil {
				return err
			}
			_, err = announce.ReadStatus(r)
			return err
		}()
		if err != nil && nc != nil {
			nc.Close()
			nc = nil
		}
		if (err != nil) != down {
			down = err != nil
			log.Printf("event=announce down=%t error=%q", down, errorText(err))
		}
		select {
		case <-ctx.Done():
			if nc != nil {
				nc.Close()
			}
			return
		case accepting = <-a.changes:
		case address = <-a.moves:
			if nc != nil {
				nc.Close()
				nc = nil
			}
		case <-ticker.C:
		}
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
