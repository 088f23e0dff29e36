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
	InstanceID int64
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
func (r *Reply) Run(id string) { r.appendRequestLine(actionRun, id) }

// Cancel implements decision.Host.
func (r *Reply) Cancel(id string) { r.appendRequestLine(actionCancel, id) }

// Shed implements decision.Host.
func (r *Reply) Shed(id string, retryAfter time.Duration, noRetry bool) {
	r.beginRequestLine(actionShed, id)
	r.appendTime(fieldRetryAfter, retryAfter)
	r.appendBool(fieldNoRetry, noRetry)
	r.endLine()
}

// Fail implements decision.Host.
func (r *Reply) Fail(id string) { r.appendRequestLine(actionFail, id) }

// Call implements decision.Host.
func (r *Reply) Call(id string, timeout time.Duration) {
	r.beginRequestLine(actionCall, id)
	r.appendTime(fieldTimeout, timeout)
	r.endLine()
}

// SkipCall implements decision.Host.
func (r *Reply) SkipCall(id string) { r.appendRequestLine(actionSkipCall, id) }

// CacheResult implements decision.Host.
func (r *Reply) CacheResult(id string, ttl time.Duration) {
	r.beginRequestLine(actionCacheResult, id)
	r.appendTime(fieldTTL, ttl)
	r.endLine()
}

// EvictResult implements decision.Host.
func (r *Reply) EvictResult(id string) { r.appendRequestLine(actionEvictResult, id) }

// ServeCached implements decision.Host.
func (r *Reply) ServeCached(id string) { r.appendRequestLine(actionServeCached, id) }

// SetHealth implements decision.Host.
func (r *Reply) SetHealth(healthy, cached bool) {
	r.beginLine(actionSetHealth)
	r.appendBool(fieldCached, cached)
	r.appendBool(fieldHealthy, healthy)
	r.endLine()
}

// PublishLoad implements decision.Host.
func (r *Reply) PublishLoad(value float64) {
	r.beginLine(actionPublishLoad)
	r.appendKey(fieldLoad)
	r.buf = strconv.AppendFloat(r.buf, value, 'f', -1, 64)
	r.endLine()
}

// SetIdleTimeout implements decision.Host.
func (r *Reply) SetIdleTimeout(after time.Duration) {
	r.beginLine(actionSetIdleTimeout)
	r.appendTime(fieldTTL, after)
	r.endLine()
}

// SetTimer implements decision.Host.
func (r *Reply) SetTimer(after time.Duration, token int64) {
	r.beginLine(actionSetTimer)
	r.appendTime(fieldDelay, after)
	r.appendInt(fieldToken, token)
	r.endLine()
}

// Log implements decision.Host.
func (r *Reply) Log(event decision.Event) { r.appendTextLine(actionLog, LogText(event)) }

// ReportFailure replaces the buffered actions with a message that reports the failure of the
// instance and its cause.
func (r *Reply) ReportFailure(cause string) {
	r.buf = r.buf[:0]
	r.appendTextLine(instanceFailed, cause)
}

// beginLine starts a line with the message's name and the instance.
func (r *Reply) beginLine(name string) {
	r.buf = append(r.buf, name...)
	r.appendInt(fieldInstance, r.InstanceID)
}

// beginRequestLine starts a line about a request.
func (r *Reply) beginRequestLine(name, id string) {
	r.beginLine(name)
	r.appendText(fieldRequest, id)
}

// appendRequestLine appends a line whose only field, besides the instance, is a request.
func (r *Reply) appendRequestLine(name, id string) {
	r.beginRequestLine(name, id)
	r.endLine()
}

// appendTextLine appends a line with a text. Each sequence of white space in it becomes one
// space.
func (r *Reply) appendTextLine(name, text string) {
	r.beginLine(name)
	r.appendText(fieldText, strings.Join(strings.Fields(text), " "))
	r.endLine()
}

// endLine terminates a line.
func (r *Reply) endLine() { r.buf = append(r.buf, '\n') }

// appendKey appends the name of a field.
func (r *Reply) appendKey(key string) {
	r.buf = append(r.buf, fieldSeparator...)
	r.buf = append(r.buf, key...)
	r.buf = append(r.buf, fieldAssignment...)
}

func (r *Reply) appendText(key, value string) {
	r.appendKey(key)
	r.buf = append(r.buf, value...)
}

func (r *Reply) appendInt(key string, value int64) {
	r.appendKey(key)
	r.buf = strconv.AppendInt(r.buf, value, 10)
}

func (r *Reply) appendBool(key string, value bool) {
	n := int64(0)
	if value {
		n = 1
	}
	r.appendInt(key, n)
}

func (r *Reply) appendTime(key string, value time.Duration) { r.appendInt(key, value.Microseconds()) }
