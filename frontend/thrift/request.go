package thrift

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"time"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/match"
	protocol "quincerail.example/quincerail/protocol/thrift"
)

// Bounds of request fields.
const (
	maxClockSkew    = 5 * time.Second     // how far the clock of a caller may be ahead of this process's clock
	maxTimeoutMS    = 24 * 60 * 60 * 1000 // a longer timeout is reduced to this; the deadline of every class is shorter
	maxReservedKB   = 2000                // exclusive bound
	attemptIDDigits = 16                  // hexadecimal
	bytesPerKB      = 1024
)

// FieldError reports a field of a request with a missing or invalid value.
type FieldError struct {
	Field string // the key of the field on the wire
	Value string
}

// Error implements error. The text is sent to the peer.
func (e *FieldError) Error() string { return fmt.Sprintf("%s %.64q", e.Field, e.Value) }

// parseRequest returns the request of an execute call. The error is m.Err if the message has
// one, else a *FieldError.
func (c *connection) parseRequest(m *protocol.Message) (dispatch.Request, error) {
	if m.Err != nil {
		return dispatch.Request{}, m.Err
	}
	arrivedAt, err := c.parseArrival(m.Fields)
	if err != nil {
		return dispatch.Request{}, err
	}
	request := dispatch.Request{
		ID:        m.Fields[protocol.FieldAttemptID],
		CacheKey:  m.Fields[protocol.FieldCacheKey],
		Tenant:    m.Fields[protocol.FieldTenant],
		ArrivedAt: arrivedAt,
		ReadAfter: c.conn.ReadAfter(),
		ReadBy:    c.conn.ReadBy(),
		OverLimit: c.conn.OverLimit(),
		Payload:   dispatch.Payload{Body: bytes.Clone(m.Body)}, // not the whole frame
		Responder: c,
	}
	if err := parseNumbers(m.Fields, &request); err != nil {
		return dispatch.Request{}, err
	}
	if !isAttemptID(request.ID) {
		return dispatch.Request{}, fieldError(m.Fields, protocol.FieldAttemptID)
	}
	request.Class, request.Key = c.classify(m)
	return request, nil
}

func fieldError(fields map[string]string, key string) *FieldError {
	return &FieldError{Field: key, Value: fields[key]}
}

// parseArrival returns when the request arrived at the machine, on this process's clock.
func (c *connection) parseArrival(fields map[string]string) (time.Time, error) {
	unixMS, err := strconv.ParseInt(fields[protocol.FieldArrivedAt], 10, 64)
	if err != nil || unixMS < 0 {
		return time.Time{}, fieldError(fields, protocol.FieldArrivedAt)
	}
	clock := c.core.Clock()
	arrived := clock.FromPeerTime(time.UnixMilli(unixMS))
	if arrived-clock.Now() > maxClockSkew {
		return time.Time{}, fieldError(fields, protocol.FieldArrivedAt)
	}
	return clock.Time(arrived), nil
}

// parseNumbers sets the numeric fields of the request. ArrivedAt must be set before.
func parseNumbers(fields map[string]string, request *dispatch.Request) (err error) {
	request.ReservedKB, err = strconv.ParseFloat(fields[protocol.FieldReservedMemory], 64)
	if err != nil || !(request.ReservedKB > 0 && request.ReservedKB < maxReservedKB) {
		return fieldError(fields, protocol.FieldReservedMemory)
	}
	request.ReservedKB = max(request.ReservedKB, float64(len(request.Payload.Body))/bytesPerKB)
	request.Rank, err = strconv.ParseFloat(fields[protocol.FieldRank], 64)
	if err != nil || !(request.Rank >= 0 && request.Rank < 1) {
		return fieldError(fields, protocol.FieldRank)
	}
	request.Caller, err = strconv.Atoi(fields[protocol.FieldCaller])
	if err != nil {
		return fieldError(fields, protocol.FieldCaller)
	}
	request.Deadline, err = parseDeadline(request.ArrivedAt, fields)
	return err
}

// parseDeadline returns when the caller stops waiting, or zero if the message has no timeout or
// a timeout of 0. The class's deadline applies instead if it is earlier, or if the result is
// zero.
func parseDeadline(arrivedAt time.Time, fields map[string]string) (time.Time, error) {
	timeout := fields[protocol.FieldTimeout]
	if timeout == "" {
		return time.Time{}, nil
	}
	ms, err := strconv.ParseFloat(timeout, 64)
	if err != nil || !(ms >= 0) || math.IsInf(ms, 0) {
		return time.Time{}, fieldError(fields, protocol.FieldTimeout)
	}
	if ms == 0 {
		return time.Time{}, nil
	}
	return arrivedAt.Add(time.Duration(min(ms, maxTimeoutMS) * float64(time.Millisecond))), nil
}

func isAttemptID(id string) bool {
	_, err := strconv.ParseUint(id, 16, 64)
	return err == nil && len(id) == attemptIDDigits
}

// classify returns the class and the idempotency key of a request: those of the first
// matching operator rule, else those in the message's fields.
func (c *connection) classify(m *protocol.Message) (class, key string) {
	if set := c.rules.Load(); set != nil {
		if result, ok := set.Classify(match.FromThrift(m.Fields, m.Body)); ok {
			return result.Class, result.Key
		}
	}
	return m.Fields[protocol.FieldClass], m.Fields[protocol.FieldIdempotencyKey]
}
