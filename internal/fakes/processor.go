package fakes

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"quincerail.example/quincerail/protocol/lines"
)

// gaugeRequestsUntilUp is the number of gauge requests from the app server at which the
// channel of Up is closed.
const gaugeRequestsUntilUp = 3

// Processor is a fake of the processor. It keeps its runs and notices while no app server
// is connected. When the app server reconnects, it is sent the notices that it has missed.
type Processor struct {
	work      *Work
	listener  net.Listener // at the current address
	startedAt time.Time
	up        chan struct{} // closed at gauge request number gaugeRequestsUntilUp

	mu            sync.Mutex
	conn          net.Conn        // last connection that sent hello; nil after Disconnect
	notices       []string        // as sent; notice n has index n-1
	runs          map[string]*run // by id, also those that are completed
	running       int
	gaugeRequests int
}

type run struct {
	body       string
	awaitsCall bool // waits for the reply to its downstream call
	timer      *time.Timer
	completed  bool
}

// NewProcessor starts a processor that listens at address and runs work.
func NewProcessor(address string, work *Work) (*Processor, error) {
	l, err := listen(address)
	if err != nil {
		return nil, fmt.Errorf("fake processor: %w", err)
	}
	p := &Processor{work: work, listener: l, startedAt: time.Now(), up: make(chan struct{}), runs: make(map[string]*run)}
	go accept(l, p.serve)
	return p, nil
}

// Addr returns the address that it listens at.
func (p *Processor) Addr() string { return p.listener.Addr().String() }

// Up returns a channel that is closed when the app server has requested the gauges
// gaugeRequestsUntilUp times. These requests show that its backend module is running.
func (p *Processor) Up() <-chan struct{} { return p.up }

// Listen replaces the listener by one at a new address. An open connection stays in use
// until the app server opens the next. Listen must not be called concurrently with itself,
// Addr or Close.
func (p *Processor) Listen(address string) error {
	l, err := listen(address)
	if err != nil {
		return fmt.Errorf("fake processor: %w", err)
	}
	closeIgnoringError(p.listener)
	p.listener = l
	go accept(l, p.serve)
	return nil
}

// Close closes the listener and the connection to the app server.
func (p *Processor) Close() {
	closeIgnoringError(p.listener)
	p.Disconnect()
}

// Disconnect closes the connection to the app server. Runs continue.
func (p *Processor) Disconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		closeIgnoringError(p.conn)
		p.conn = nil
	}
}

func (p *Processor) serve(nc net.Conn) {
	r := bufio.NewReaderSize(nc, 16<<10)
	for {
		words, body, err := lines.Read(r, func(w []string) bool { return w[0] == "begin" || w[0] == "answer" })
		if err != nil {
			return
		}
		p.mu.Lock()
		p.command(nc, words, string(body))
		p.mu.Unlock()
	}
}

// command executes one command of the app server. The lock is held.
func (p *Processor) command(nc net.Conn, words []string, body string) {
	id := words[len(words)-1]
	if len(words) > 1 {
		id = words[1]
	}
	switch words[0] {
	case "hello":
		p.connect(nc, id)
	case "begin":
		p.work.recordClass(body, words[2])
		p.begin(id, body)
	case "interrupt":
		p.cancel(id)
	case "answer":
		if !p.endCall(id, body) {
			send(nc, "reject answer %s\r\n", id)
		}
	case "without":
		p.endCall(id, "without")
	case "usage":
		if p.gaugeRequests++; p.gaugeRequests == gaugeRequestsUntilUp {
			close(p.up)
		}
		send(nc, "used %s 0.1 %d 0.1 1\r\n", id, p.running)
	case "trial":
		send(nc, "tried %s good\r\n", id)
	}
}

// connect replies to hello and sends the notices after lastNotice, the number of the last
// that the app server has received.
func (p *Processor) connect(nc net.Conn, lastNotice string) {
	last, _ := strconv.Atoi(lastNotice) // 0 if it is not a number
	p.conn = nc
	send(nc, "hi old %d\r\n", time.Since(p.startedAt).Milliseconds())
	for _, n := range p.notices[min(last, len(p.notices)):] {
		send(nc, "%s", n)
	}
}

// cancel stops a run if it has not completed.
func (p *Processor) cancel(id string) {
	if r := p.runs[id]; r != nil && !r.completed {
		p.work.recordStop(r.body)
		p.complete(id, r, "cut", nil)
	}
}

// endCall completes a run that waits for its downstream call, with the reply as its result.
// It returns false if the run doesn't wait for a call.
func (p *Processor) endCall(id, reply string) bool {
	r := p.runs[id]
	if r == nil || !r.awaitsCall {
		return false
	}
	r.awaitsCall = false
	p.complete(id, r, "good", []byte(reply))
	return true
}

// begin starts a run. A repeated begin of a completed run sends a notice that its result is
// no longer available; one of a current run has no effect.
func (p *Processor) begin(id, body string) {
	if r := p.runs[id]; r != nil {
		if r.completed {
			p.notice("complete %d "+id+" gone 0 0\r\n", []byte{})
		}
		return
	}
	r := &run{body: body}
	p.runs[id] = r
	p.running++
	switch p.work.start(body) {
	case "fail":
		p.complete(id, r, "bad", nil)
	case "hang":
	case "call":
		r.awaitsCall = true
		p.notice(fmt.Sprintf("ask %%d %s %d\r\n", id, len(body)), []byte(body))
	default:
		r.timer = time.AfterFunc(p.work.duration(body), func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			if !r.completed {
				p.complete(id, r, "good", []byte(Result(body)))
			}
		})
	}
}

func (p *Processor) complete(id string, r *run, status string, result []byte) {
	r.completed = true
	p.running--
	p.notice(fmt.Sprintf("complete %%d %s %s 1 %d\r\n", id, status, len(result)), append([]byte{}, result...))
}

// notice gives a notice the next number, in place of the %d in format, stores it, and sends
// it if an app server is connected. A non-nil body follows on a line of its own.
func (p *Processor) notice(format string, body []byte) {
	text := strings.Replace(format, "%d", strconv.Itoa(len(p.notices)+1), 1)
	if body != nil {
		text += string(body) + "\r\n"
	}
	p.notices = append(p.notices, text)
	if p.conn != nil {
		send(p.conn, "%s", text)
	}
}
