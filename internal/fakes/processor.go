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

// usagesUntilUp is how often the app server asks for the gauges before its module counts
// as at work.
const usagesUntilUp = 3

// Processor is a fake of the processor.
type Processor struct {
	work      *Work
	listener  net.Listener // the newest
	startedAt time.Time
	up        chan struct{}

	mu            sync.Mutex
	link          net.Conn
	notices       []string // as sent; number n is at n-1
	runs          map[string]*run
	running       int
	gaugeRequests int
}

type run struct {
	body       string
	awaitsCall bool
	timer      *time.Timer
	completed  bool
}

// NewProcessor starts a processor that does some work.
func NewProcessor(address string, work *Work) (*Processor, error) {
	l, err := listen(address)
	if err != nil {
		return nil, fmt.Errorf("processor: %w", err)
	}
	p := &Processor{work: work, listener: l, startedAt: time.Now(), up: make(chan struct{}), runs: make(map[string]*run)}
	go accept(l, p.serve)
	return p, nil
}

// Addr is where it listens.
func (p *Processor) Addr() string { return p.listener.Addr().String() }

// Up is closed when the app server's module is at work: it asks for the gauges
// again and again.
func (p *Processor) Up() <-chan struct{} { return p.up }

// Listen has it listen at a new address, and no more at the old one. The link that
// is open goes on until the app server opens the next.
func (p *Processor) Listen(address string) error {
	l, err := listen(address)
	if err != nil {
		return fmt.Errorf("processor: %w", err)
	}
	closeIgnoringError(p.listener)
	p.listener = l
	go accept(l, p.serve)
	return nil
}

// Close ends it.
func (p *Processor) Close() {
	closeIgnoringError(p.listener)
	p.Disconnect()
}

// Disconnect breaks the link. Runs continue.
func (p *Processor) Disconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil {
		closeIgnoringError(p.link)
		p.link = nil
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

// command carries out one command. The lock is held.
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
		if p.gaugeRequests++; p.gaugeRequests == usagesUntilUp {
			close(p.up)
		}
		send(nc, "used %s 0.1 %d 0.1 1\r\n", id, p.running)
	case "trial":
		send(nc, "tried %s good\r\n", id)
	}
}

// connect greets the app server, and sends the notices after the last that it has.
func (p *Processor) connect(nc net.Conn, lastNotice string) {
	last, _ := strconv.Atoi(lastNotice) // 0 for what is no number
	p.link = nc
	send(nc, "hi old %d\r\n", time.Since(p.startedAt).Milliseconds())
	for _, n := range p.notices[min(last, len(p.notices)):] {
		send(nc, "%s", n)
	}
}

// cancel stops a run.
func (p *Processor) cancel(id string) {
	if r := p.runs[id]; r != nil && !r.completed {
		p.work.stopped(r.body)
		p.complete(id, r, "cut", nil)
	}
}

// endCall completes a run that waits for its call, with the call's reply. It returns
// false if the run does not wait for one.
func (p *Processor) endCall(id, reply string) bool {
	r := p.runs[id]
	if r == nil || !r.awaitsCall {
		return false
	}
	r.awaitsCall = false
	p.complete(id, r, "good", []byte(reply))
	return true
}

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
		r.timer = time.AfterFunc(p.work.time(body), func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			if !r.completed {
				p.complete(id, r, "good", []byte(Result(body)))
			}
		})
	}
}

func (p *Processor) complete(id string, r *run, end string, result []byte) {
	r.completed = true
	p.running--
	p.notice(fmt.Sprintf("complete %%d %s %s 1 %d\r\n", id, end, len(result)), append([]byte{}, result...))
}

// notice numbers a notice, remembers it and sends it if there is a link.
func (p *Processor) notice(form string, body []byte) {
	text := strings.Replace(form, "%d", strconv.Itoa(len(p.notices)+1), 1)
	if body != nil {
		text += string(body) + "\r\n"
	}
	p.notices = append(p.notices, text)
	if p.link != nil {
		send(p.link, "%s", text)
	}
}
