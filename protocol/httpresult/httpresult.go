// Package httpresult converts between HTTP responses and dispatch.Payload, the form in which
// the core caches and forwards results.
package httpresult

import (
	"net/http"
	"strconv"
	"time"

	"quincerail.example/quincerail/dispatch"
)

// statusField is the field of a result that holds the HTTP status. It can't conflict with a
// header, because header names have no colon.
const statusField = ":status"

// Encode returns the result that holds a response.
func Encode(status int, headers []dispatch.Field, body []byte) dispatch.Payload {
	fields := append([]dispatch.Field{{Name: statusField, Value: strconv.Itoa(status)}}, headers...)
	return dispatch.Payload{Fields: fields, Body: body}
}

// Decode returns the response that a result holds. A result without fields comes from a
// backend that does not use HTTP; its response has status 200 and the content type
// application/octet-stream.
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

// Status returns the HTTP status code for an outcome that has no result.
func Status(k dispatch.OutcomeKind) int {
	switch k {
	case dispatch.Shed:
		return http.StatusServiceUnavailable
	case dispatch.TimedOut:
		return http.StatusGatewayTimeout
	case dispatch.Rejected: // key reused with another body (draft-ietf-httpapi-idempotency-key-header, 2.7)
		return http.StatusUnprocessableEntity
	}
	return http.StatusBadGateway
}

// RetryAfter returns the value of the Retry-After header for a delay: the delay in whole
// seconds, rounded up, with a minimum of 1.
func RetryAfter(delay time.Duration) string {
	return strconv.Itoa(max(1, int((delay+time.Second-1)/time.Second)))
}
