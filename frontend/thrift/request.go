package thrift

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/match"
	protocol "quincerail.example/quincerail/protocol/thrift"
)

// The bounds of a request's fields.
const (
	maxClockSkew    = 5 * time.Second     // how far a caller's clock may be ahead of this one
	maxTimeoutMS    = 24 * 60 * 60 * 1000 // longer timeouts are cut to it; every class's deadline is shorter
	maxReservedKB   = 2000                // exclusive
	attemptIDDigits = 16                  // in hex
)

// FieldError reports that a field of a request makes no sense.
type FieldError struct {
	Field string // its key on the wire
	Value string
}

// Error returns the key and the value.
func (e *FieldError) Error() string { return fmt.Sprintf("%s %q", e.Field, e.Value) }

// parseRequest reads the fields of a call. The error is the message's own, or a
// *FieldError.
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
		Payload:   dispatch.Payload{Body: m.Body},
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

// parseArrival returns when the request reached the machine, in this process's time.
func (c *connection) parseArrival(fields map[string]string) (time.Time, error) {
	unixMS, err := strconv.ParseInt(fields[protocol.FieldArrivedAt], 10, 64)
	if err != nil || unixMS < 0 {
		return time.Time{}, fieldError(fields, protocol.FieldArrivedAt)
	}
	timeline := c.core.Clock()
	arrived := timeline.Received(time.UnixMilli(unixMS))
	if arrived-timeline.Now() > maxClockSkew {
		return time.Time{}, fieldError(fields, protocol.FieldArrivedAt)
	}
	return timeline.Time(arrived), nil
}

// parseNumbers reads the fields that are numbers. The request's arrival must be set.
func parseNumbers(fields map[string]string, request *dispatch.Request) (err error) {
	request.ReservedKB, err = strconv.ParseFloat(fields[protocol.FieldReservedMemory], 64)
	if err != nil || !(request.ReservedKB > 0 && request.ReservedKB < maxReservedKB) {
		return fieldError(fields, protocol.FieldReservedMemory)
	}
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

// parseDeadline returns when the caller stops waiting, zero where it does not say: the
// class's deadline holds then, as it does where the caller claims to wait longer.
func parseDeadline(arrivedAt time.Time, fields map[string]string) (time.Time, error) {
	text := fields[protocol.FieldTimeout]
	if text == "" {
		return time.Time{}, nil
	}
	ms, err := strconv.ParseFloat(text, 64)
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

// classify returns a request's class and idempotency key: by the operator's rules if one
// of them takes it, else by its fields.
func (c *connection) classify(m *protocol.Message) (class, key string) {
	if set := c.rules.Load(); set != nil {
		if result, ok := set.Classify(match.FromThrift(m.Fields, m.Body)); ok {
			return result.Class, result.Key
		}
	}
	return m.Fields[protocol.FieldClass], m.Fields[protocol.FieldIdempotencyKey]
}
