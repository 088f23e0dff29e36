// Package httpresult converts between HTTP responses and the results that the core caches
// and passes on.
package httpresult

import (
	"net/http"
	"strconv"
	"time"

	"quincerail.example/quincerail/dispatch"
)

// statusField is the field of a result that holds its HTTP status. No header can have that
// name.
const statusField = ":status"

// Encode returns the result for a response.
func Encode(status int, headers []dispatch.Field, body []byte) dispatch.Payload {
	fields := append([]dispatch.Field{{Name: statusField, Value: strconv.Itoa(status)}}, headers...)
	return dispatch.Payload{Fields: fields, Body: body}
}

// Decode returns the response for a result. A result of a backend that does not speak HTTP
// has no status and no headers: it becomes a response of plain bytes.
func Decode(p dispatch.Payload) (status int, headers []dispatch.Field, body []byte) {
	if len(p.Fields) == 0 {
		return http.StatusOK, []dispatch.Field{{Name: "Content-Type", Value: "application/octet-stream"}}, p.Body
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

// Status returns the status code for an outcome without a result.
func Status(k dispatch.OutcomeKind) int {
	switch k {
	case dispatch.Shed:
		return http.StatusServiceUnavailable
	case dispatch.TimedOut:
		return http.StatusGatewayTimeout
	case dispatch.Rejected: // a key that was used with another body (draft-ietf-httpapi-idempotency-key-header, 2.7)
		return http.StatusUnprocessableEntity
	}
	return http.StatusBadGateway
}

// RetryAfter returns the value of the header Retry-After: whole seconds, at least one.
func RetryAfter(later time.Duration) string {
	return strconv.Itoa(max(1, int((later+time.Second-1)/time.Second)))
}
