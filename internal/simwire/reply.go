package simwire

import (
	"strconv"
	"strings"
	"time"

	"quincerail.example/quincerail/decision"
)

// Reply encodes the actions of one instance as lines and buffers them. It implements
// decision.Host.
type Reply struct {
	InstanceID int64 // ID of the instance
	buf        []byte
}

// TakeLines returns the buffered lines and empties the buffer. The bytes are valid until the
// next action.
func (r *Reply) TakeLines() []byte {
	lines := r.buf
	r.buf = r.buf[:0]
	return lines
}

// Run implements decision.Host.
func (r *Reply) Run(id string) { r.requestLine(actionRun, id) }

// Cancel implements decision.Host.
func (r *Reply) Cancel(id string) { r.requestLine(actionCancel, id) }

// Shed implements decision.Host.
func (r *Reply) Shed(id string, retryAfter time.Duration, noRetry bool) {
	r.beginRequest(actionShed, id)
	r.time(fieldRetryAfter, retryAfter)
	r.bool(fieldNoRetry, noRetry)
	r.end()
}

// Fail implements decision.Host.
func (r *Reply) Fail(id string) { r.requestLine(actionFail, id) }

// Call implements decision.Host.
func (r *Reply) Call(id string, timeout time.Duration) {
	r.beginRequest(actionCall, id)
	r.time(fieldTimeout, timeout)
	r.end()
}

// SkipCall implements decision.Host.
func (r *Reply) SkipCall(id string) { r.requestLine(actionSkipCall, id) }

// CacheResult implements decision.Host.
func (r *Reply) CacheResult(id string, ttl time.Duration) {
	r.beginRequest(actionCacheResult, id)
	r.time(fieldTTL, ttl)
	r.end()
}

// EvictResult implements decision.Host.
func (r *Reply) EvictResult(id string) { r.requestLine(actionEvictResult, id) }

// ServeCached implements decision.Host.
func (r *Reply) ServeCached(id string) { r.requestLine(actionServeCached, id) }

// SetHealth implements decision.Host.
func (r *Reply) SetHealth(healthy, cached bool) {
	r.begin(actionSetHealth)
	r.bool(fieldCached, cached)
	r.bool(fieldHealthy, healthy)
	r.end()
}

// PublishLoad implements decision.Host.
func (r *Reply) PublishLoad(value float64) {
	r.begin(actionPublishLoad)
	r.key(fieldLoad)
	r.buf = strconv.AppendFloat(r.buf, value, 'f', -1, 64)
	r.end()
}

// SetIdleTimeout implements decision.Host.
func (r *Reply) SetIdleTimeout(after time.Duration) {
	r.begin(actionSetIdleTimeout)
	r.time(fieldTTL, after)
	r.end()
}

// SetTimer implements decision.Host.
func (r *Reply) SetTimer(after time.Duration, token int64) {
	r.begin(actionSetTimer)
	r.time(fieldDelay, after)
	r.int(fieldToken, token)
	r.end()
}

// Log implements decision.Host.
func (r *Reply) Log(event decision.Event) { r.textLine(actionLog, LogText(event)) }

// ReportFailure replaces the buffered actions by a message that the instance has failed.
func (r *Reply) ReportFailure(cause string) {
	r.buf = r.buf[:0]
	r.textLine(instanceFailed, cause)
}

// begin starts a line.
func (r *Reply) begin(name string) {
	r.buf = append(r.buf, name...)
	r.int(fieldInstance, r.InstanceID)
}

// beginRequest starts a line about a request.
func (r *Reply) beginRequest(name, id string) {
	r.begin(name)
	r.text(fieldRequest, id)
}

// requestLine adds a line whose only field, besides the instance, is a request.
func (r *Reply) requestLine(name, id string) {
	r.beginRequest(name, id)
	r.end()
}

// textLine adds a line with a text. Each sequence of white space in it becomes one space.
func (r *Reply) textLine(name, text string) {
	r.begin(name)
	r.text(fieldText, strings.Join(strings.Fields(text), " "))
	r.end()
}

// end terminates a line.
func (r *Reply) end() { r.buf = append(r.buf, '\n') }

// key adds the name of a field.
func (r *Reply) key(key string) {
	r.buf = append(r.buf, fieldSeparator...)
	r.buf = append(r.buf, key...)
	r.buf = append(r.buf, fieldAssignment...)
}

func (r *Reply) text(key, value string) {
	r.key(key)
	r.buf = append(r.buf, value...)
}

func (r *Reply) int(key string, value int64) {
	r.key(key)
	r.buf = strconv.AppendInt(r.buf, value, 10)
}

func (r *Reply) bool(key string, value bool) {
	n := int64(0)
	if value {
		n = 1
	}
	r.int(key, n)
}

func (r *Reply) time(key string, value time.Duration) { r.int(key, value.Microseconds()) }
