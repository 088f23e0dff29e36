package main

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

// begun is one run that a processor began.
type begun struct {
	id, class, body string
	processor       string
	at              time.Time
}

// work says how long runs take and what they return, and records all runs of the site.
type work struct {
	mu       *sync.Mutex
	runs     map[string][]begun // by body
	duration func(body string) time.Duration
	result   func(body string) []byte
}

func newWork() work {
	return work{mu: new(sync.Mutex), runs: make(map[string][]begun), duration: func(string) time.Duration { return 20 * time.Millisecond },
		result: func(body string) []byte { return []byte("done: " + body) }}
}

func (w *work) add(b begun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[b.body] = append(w.runs[b.body], b)
}

// of returns the runs of a body so far.
func (w *work) of(body string) []begun {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]begun(nil), w.runs[body]...)
}

// processor is a stand-in for the processor, as the protocol page describes it.
type processor struct {
	site     *site
	label    string
	listener net.Listener
	started  time.Time

	mu      sync.Mutex
	conn    net.Conn
	notices []string
	runs    map[string]bool // by id: true once the run is over
	running int
	closed  bool
}

func newProcessor(s *site, label string) (*processor, error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, err
	}
	p := &processor{site: s, label: label, listener: l, started: time.Now(), runs: make(map[string]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *processor) Addr() string { return p.listener.Addr().String() }

func (p *processor) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.conn != nil {
		_ = p.conn.Close()
	}
}

func (p *processor) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReaderSize(c, 16<<10)
	for {
		words, body, err := lines.Read(r, func(w []string) bool { return w[0] == "begin" || w[0] == "answer" })
		if err != nil {
			return
		}
		p.mu.Lock()
		p.command(c, words, string(body))
		p.mu.Unlock()
	}
}

// command carries out a command. p.mu is held.
func (p *processor) command(c net.Conn, words []string, body string) {
	switch {
	case p.closed:
	case words[0] == "hello" && len(words) == 2:
		p.conn = c
		last, _ := strconv.Atoi(words[1])
		fmt.Fprintf(c, "hi old %d\r\n%s", time.Since(p.started).Milliseconds(), strings.Join(p.notices[min(last, len(p.notices)):], ""))
	case words[0] == "begin" && len(words) == 4:
		p.begin(words[1], words[2], body)
	case words[0] == "interrupt" && len(words) == 2:
		if over, ok := p.runs[words[1]]; ok && !over {
			p.site.log("%s stops run %s", p.label, words[1])
			p.complete(words[1], "cut", nil)
		}
	case words[0] == "usage" && len(words) == 2:
		fmt.Fprintf(c, "used %s %.2f %d 0.1 10\r\n", words[1], min(1, float64(p.running)/6), p.running)
	case words[0] == "trial" && len(words) == 2:
		fmt.Fprintf(c, "tried %s good\r\n", words[1])
	}
}

func (p *processor) begin(id, class, body string) {
	if _, ok := p.runs[id]; ok {
		return
	}
	p.runs[id] = false
	p.running++
	p.site.log("%s begins run %s of %s", p.label, id, name(body))
	p.site.work.add(begun{id: id, class: class, body: body, processor: p.label, at: time.Now()})
	time.AfterFunc(p.site.work.duration(body), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.runs[id] && !p.closed {
			p.complete(id, "good", p.site.work.result(body))
		}
	})
}

// complete ends a run. p.mu is held.
func (p *processor) complete(id, end string, result []byte) {
	p.runs[id] = true
	p.running--
	p.notices = append(p.notices, fmt.Sprintf("complete %d %s %s 1 %d\r\n%s\r\n", len(p.notices)+1, id, end, len(result), result))
	if p.conn != nil {
		_, _ = p.conn.Write([]byte(p.notices[len(p.notices)-1]))
	}
}

// name returns the first word of a body, by which the record names a request.
func name(body string) string {
	word, _, _ := strings.Cut(body, " ")
	return word
}
