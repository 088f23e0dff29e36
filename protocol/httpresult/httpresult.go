// Package httpresult is the codec between HTTP responses and the results that
// the core keeps and passes on.
package httpresult

import (
	"net/http"
	"strconv"
	"time"

	"quincerail.example/quincerail/routing"
)

// statusField is the field of a result that holds its HTTP status. No header
// can have that name.
const statusField = ":status"

// Encode makes a result of a response.
func Encode(status int, headers []routing.Field, body []byte) routing.Payload {
	fields := append([]routing.Field{{Name: statusField, Value: strconv.Itoa(status)}}, headers...)
	return routing.Payload{Fields: fields, Body: body}
}

// Decode makes a response of a result. One that a backend of another kind made
// has no status and no headers; it becomes plain bytes.
func Decode(p routing.Payload) (status int, headers []routing.Field, body []byte) {
	if len(p.Fields) == 0 {
		return http.StatusOK, []routing.Field{{Name: "Content-Type", Value: "application/octet-stream"}}, p.Body
	}
	status = http.StatusOK
	for _, f := range p.Fields {
		if f.Name != statusField {
			headers = append(headers, f)
		} else if n, err := strconv.Atoi(f.Value); err == nil {
			status = n
		}
	}
	return status, headers, p.Body
}

// Status gives the status of an outcome that is no result.
func Status(k routing.OutcomeKind) int {
	switch k {
	case routing.Shed:
		return http.StatusServiceUnavailable
	case routing.TimedOut:
		return http.StatusGatewayTimeout
	case routing.Rejected: // a key that came with another body (draft-ietf-httpapi-idempotency-key-header, 2.7)
		return http.StatusUnprocessableEntity
	}
	return http.StatusBadGateway
}

// RetryAfter is the value of that header: whole seconds, and never at once.
func RetryAfter(later time.Duration) string {
	return strconv.Itoa(max(1, int((later+time.Second-1)/time.Second)))
}
