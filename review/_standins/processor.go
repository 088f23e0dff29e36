package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a run that a processor has begun.
type run struct {
	processor string
	id        string // of the try
	class     string
	body      string
	begunAt   time.Time

	asked     int    // calls asked for so far
	waitsFor  string // body of the call that the run waits for; "" for none
	completed bool
}

// work says what the runs do. A run asks for its calls one after the other and then ends with a
// result.
type work struct {
	duration   func(body string) time.Duration // before each call, and before the end
	calls      func(body string) int
	resultSize int
	// over reports whether the request of a try is over: its answer was given or its balancer
	// stopped waiting. nil for never.
	over func(id string) bool
	// answered is told each reply to a call that reaches the processor.
	answered func(r *run, call, reply string)
}

// result returns the result of a run. It names the try that ran.
func (w *work) result(r *run) string {
	text := "result of " + r.id + " for " + r.body
	if missing := w.resultSize - len(text); missing > 0 {
		text += strings.Repeat(".", missing)
	}
	return text
}

// processor is a stand-in of the processor of one process, as the PROTOCOL page describes it.
type processor struct {
	name     string
	listener net.Listener
	record   *record
	work     *work
	started  time.Time
	up       chan struct{} // hi waits until it is closed

	mu      sync.Mutex
	link    net.Conn
	notices []string
	runs    map[string]*run
	order   []*run
}

func newProcessor(name string, rec *record, w *work) (*processor, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &processor{
		name: name, listener: l, record: rec, work: w, started: time.Now().Add(-time.Minute),
		up: make(chan struct{}), runs: make(map[string]*run),
	}
	go p.accept()
	return p, nil
}

func (p *processor) address() string { return p.listener.Addr().String() }

func (p *processor) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil {
		_ = p.link.Close()
	}
}

func (p *processor) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *processor) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) == 0 {
			return
		}
		body := ""
		if words[0] == "begin" || words[0] == "answer" {
			if body, err = readBody(r, words[len(words)-1]); err != nil {
				return
			}
		}
		if words[0] == "hello" {
			<-p.up
		}
		if !p.command(conn, words, body) {
			return
		}
	}
}

// readBody reads a body of the given length and the CR LF after it.
func readBody(r *bufio.Reader, length string) (string, error) {
	n, err := strconv.Atoi(length)
	if err != nil || n < 0 || n > 1<<16 {
		return "", fmt.Errorf("length %q", length)
	}
	b := make([]byte, n+2)
	if _, err := io.ReadFull(r, b); err != nil {
		return "", err
	}
	return string(b[:n]), nil
}

// command carries out a command. It returns false if it is none.
func (p *processor) command(conn net.Conn, words []string, body string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if words[0] != "hello" && p.link != conn {
		return false // a newer link has replaced this one
	}
	switch words[0] {
	case "hello":
		last, _ := strconv.Atoi(words[1])
		if p.link != nil {
			_ = p.link.Close()
		}
		p.link = conn
		fmt.Fprintf(conn, "hi old %d\r\n", time.Since(p.started).Milliseconds())
		for _, n := range p.notices[min(last, len(p.notices)):] {
			_, _ = io.WriteString(conn, n)
		}
	case "begin":
		p.begin(words[1], words[2], body)
	case "interrupt":
		if r := p.runs[words[1]]; r != nil && !r.completed {
			p.complete(r, "cut", "")
		}
	case "answer":
		r := p.runs[words[1]]
		if r == nil || r.completed || r.waitsFor == "" {
			fmt.Fprintf(conn, "reject answer %s\r\n", words[1])
			break
		}
		call := r.waitsFor
		r.waitsFor = ""
		if p.work.answered != nil {
			p.work.answered(r, call, body)
		}
		p.proceed(r)
	case "without":
		if r := p.runs[words[1]]; r != nil && !r.completed && r.waitsFor != "" {
			r.waitsFor = ""
			p.proceed(r)
		}
	case "usage":
		running := 0
		for _, r := range p.runs {
			if !r.completed && r.waitsFor == "" {
				running++
			}
		}
		fmt.Fprintf(conn, "used %s %.2f %d %.2f %d\r\n", words[1], min(1, float64(running)/6), running, min(1, float64(running)/70), 4)
	case "trial":
		fmt.Fprintf(conn, "tried %s good\r\n", words[1])
	default:
		return false
	}
	return true
}

func (p *processor) begin(id, class, body string) {
	if r := p.runs[id]; r != nil && !r.completed {
		return // it runs already
	}
	r := &run{processor: p.name, id: id, class: class, body: body, begunAt: time.Now()}
	if p.work.over != nil && p.work.over(id) {
		p.record.line("processor %s: begin %s, but the request is over: gone", p.name, id)
		p.complete(r, "gone", "")
		return
	}
	p.record.line("processor %s: RUN of try %s %s %q", p.name, id, class, shorten(body))
	p.runs[id] = r
	p.order = append(p.order, r)
	p.proceed(r)
}

// proceed continues a run after its begin or a call: after some time it asks for its next call
// or ends.
func (p *processor) proceed(r *run) {
	time.AfterFunc(p.work.duration(r.body), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if r.completed {
			return
		}
		if r.asked < p.work.calls(r.body) {
			r.asked++
			r.waitsFor = fmt.Sprintf("call %d of %s", r.asked, r.id)
			p.notice(fmt.Sprintf("ask %%d %s %d\r\n%s\r\n", r.id, len(r.waitsFor), r.waitsFor))
			return
		}
		p.complete(r, "good", p.work.result(r))
	})
}

func (p *processor) complete(r *run, end, result string) {
	r.completed = true
	p.notice(fmt.Sprintf("complete %%d %s %s %d %d\r\n%s\r\n", r.id, end, time.Since(r.begunAt).Milliseconds(), len(result), result))
}

// notice numbers a notice, keeps it, and sends it if there is a link.
func (p *processor) notice(text string) {
	text = strings.Replace(text, "%d", strconv.Itoa(len(p.notices)+1), 1)
	p.notices = append(p.notices, text)
	if p.link != nil {
		_, _ = io.WriteString(p.link, text)
	}
}

// begun returns the runs that were begun, in their order.
func (p *processor) begun() []*run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*run(nil), p.order...)
}

func shorten(s string) string {
	const most = 60
	if len(s) > most {
		return s[:most] + "..."
	}
	return s
}
