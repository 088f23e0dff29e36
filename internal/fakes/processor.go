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

// Processor stands in for the processor.
type Processor struct {
	work     *Work
	listener net.Listener // the newest
	born     time.Time
	up       chan struct{}

	mu      sync.Mutex
	link    net.Conn
	notices []string // as sent; number n is at n-1
	runs    map[string]*run
	running int
	usages  int
}

type run struct {
	body  string
	asks  bool
	timer *time.Timer
	over  bool
}

// NewProcessor starts a processor that does some work.
func NewProcessor(address string, work *Work) (*Processor, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("processor: %w", err)
	}
	p := &Processor{work: work, listener: l, born: time.Now(), up: make(chan struct{}), runs: make(map[string]*run)}
	go accept(l, p.serve)
	return p, nil
}

// Addr is where it listens.
func (p *Processor) Addr() string { return p.listener.Addr().String() }

// Up is closed when the app server's module is at work: it asks for the gauges
// again and again.
func (p *Processor) Up() <-chan struct{} { return p.up }

// Move has it listen at a new address, and no more at the old one. The link that
// is open goes on until the app server opens the next.
func (p *Processor) Move(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("processor: %w", err)
	}
	p.listener.Close()
	p.listener = l
	go accept(l, p.serve)
	return nil
}

// Close ends it.
func (p *Processor) Close() { p.listener.Close(); p.Break() }

// Break breaks the link. Runs continue.
func (p *Processor) Break() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil {
		p.link.Close()
		p.link = nil
	}
}

// accept serves connections, each in a goroutine, until the listener closes.
func accept(l net.Listener, serve func(net.Conn)) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go serve(nc)
	}
}

func (p *Processor) serve(nc net.Conn) {
	defer nc.Close()
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
		last, _ := strconv.Atoi(id)
		p.link = nc
		fmt.Fprintf(nc, "hi old %d\r\n", time.Since(p.born).Milliseconds())
		for _, n := range p.notices[min(last, len(p.notices)):] {
			nc.Write([]byte(n))
		}
	case "begin":
		p.work.came(body, words[2])
		p.begin(id, body)
	case "interrupt":
		if r := p.runs[id]; r != nil && !r.over {
			p.work.stopped(r.body)
			p.complete(id, r, "cut", nil)
		}
	case "answer":
		if r := p.runs[id]; r != nil && r.asks {
			r.asks = false
			p.complete(id, r, "good", []byte(body))
			return
		}
		fmt.Fprintf(nc, "reject answer %s\r\n", id)
	case "without":
		if r := p.runs[id]; r != nil && r.asks {
			r.asks = false
			p.complete(id, r, "good", []byte("without"))
		}
	case "usage":
		if p.usages++; p.usages == 3 {
			close(p.up)
		}
		fmt.Fprintf(nc, "used %s 0.1 %d 0.1 1\r\n", id, p.running)
	case "trial":
		fmt.Fprintf(nc, "tried %s good\r\n", id)
	}
}

func (p *Processor) begin(id, body string) {
	if r := p.runs[id]; r != nil {
		if r.over {
			p.notice("complete %d "+id+" gone 0 0\r\n", []byte{})
		}
		return
	}
	r := &run{body: body}
	p.runs[id] = r
	p.running++
	switch p.work.begin(body) {
	case "fail":
		p.complete(id, r, "bad", nil)
	case "hang":
	case "call":
		r.asks = true
		p.notice(fmt.Sprintf("ask %%d %s %d\r\n", id, len(body)), []byte(body))
	default:
		r.timer = time.AfterFunc(p.work.time(body), func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			if !r.over {
				p.complete(id, r, "good", []byte(Result(body)))
			}
		})
	}
}

func (p *Processor) complete(id string, r *run, end string, result []byte) {
	r.over = true
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
		p.link.Write([]byte(text))
	}
}
