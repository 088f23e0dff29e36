package simwire

import (
	"strconv"
	"strings"
	"time"

	"quincerail.example/quincerail/decision"
)

// Reply collects the actions of one instance as lines. It is a decision.Host.
type Reply struct {
	Instance int64
	buf      []byte
}

// TakeLines gives the lines collected so far and starts anew. The bytes are good
// until the next action.
func (r *Reply) TakeLines() []byte {
	b := r.buf
	r.buf = r.buf[:0]
	return b
}

func (r *Reply) begin(name string) {
	r.buf = append(r.buf, name...)
	r.int("instanceId", r.Instance)
}

func (r *Reply) end() { r.buf = append(r.buf, '\n') }

func (r *Reply) key(k string) {
	r.buf = append(r.buf, ' ')
	r.buf = append(r.buf, k...)
	r.buf = append(r.buf, '=')
}

func (r *Reply) int(k string, v int64) {
	r.key(k)
	r.buf = strconv.AppendInt(r.buf, v, 10)
}

func (r *Reply) bool(k string, v bool) {
	n := int64(0)
	if v {
		n = 1
	}
	r.int(k, n)
}

func (r *Reply) text(k, v string) {
	r.key(k)
	r.buf = append(r.buf, v...)
}

func (r *Reply) request(name, id string) {
	r.begin(name)
	r.text("xid", id)
}

func (r *Reply) plain(name, id string) {
	r.request(name, id)
	r.end()
}

// Run implements decision.Host.
func (r *Reply) Run(id string) { r.plain("START", id) }

// Cancel implements decision.Host.
func (r *Reply) Cancel(id string) { r.plain("PREEMPT", id) }

// Shed implements decision.Host.
func (r *Reply) Shed(id string, stayAway time.Duration, last bool) {
	r.request("BOUNCE", id)
	r.int("notBeforeForUs", stayAway.Microseconds())
	r.bool("last", last)
	r.end()
}

// Fail implements decision.Host.
func (r *Reply) Fail(id string) { r.plain("SURRENDER", id) }

// Call implements decision.Host.
func (r *Reply) Call(id string, timeout time.Duration) {
	r.request("REACH_OUT", id)
	r.int("timeoutUs", timeout.Microseconds())
	r.end()
}

// SkipCall implements decision.Host.
func (r *Reply) SkipCall(id string) { r.plain("BYPASS", id) }

// CacheResult implements decision.Host.
func (r *Reply) CacheResult(id string, ttl time.Duration) {
	r.request("RECORD_KEY", id)
	r.int("holdForUs", ttl.Microseconds())
	r.end()
}

// EvictResult implements decision.Host.
func (r *Reply) EvictResult(id string) { r.plain("FORGET", id) }

// ServeCached implements decision.Host.
func (r *Reply) ServeCached(id string) { r.plain("JOIN", id) }

// SetHealth implements decision.Host.
func (r *Reply) SetHealth(on, cached bool) {
	r.begin("FITNESS")
	r.bool("cached", cached)
	r.bool("on", on)
	r.end()
}

// PublishLoad implements decision.Host.
func (r *Reply) PublishLoad(value float64) {
	r.begin("HINT_OUT")
	r.key("amount")
	r.buf = strconv.AppendFloat(r.buf, value, 'f', -1, 64)
	r.end()
}

// SetIdleTimeout implements decision.Host.
func (r *Reply) SetIdleTimeout(after time.Duration) {
	r.begin("IDLE")
	r.int("holdForUs", after.Microseconds())
	r.end()
}

// SetTimer implements decision.Host.
func (r *Reply) SetTimer(after time.Duration, token int64) {
	r.begin("NOTIFY_ME")
	r.int("fromNowUs", after.Microseconds())
	r.int("cookie", token)
	r.end()
}

// Log implements decision.Host.
func (r *Reply) Log(event decision.Event) { r.line("SAY_LOG", LogText(event)) }

// Bail reports that the decision code has failed.
func (r *Reply) Bail(text string) {
	r.buf = r.buf[:0]
	r.line("BAIL_OUT", text)
}

func (r *Reply) line(name, text string) {
	r.begin(name)
	r.text("line", strings.Join(strings.Fields(text), " "))
	r.end()
}
