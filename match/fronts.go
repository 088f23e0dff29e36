package match

import (
	"net/http"
	"strings"
)

// The frontends use the functions of this file to make a Request, so that a rule file
// classifies requests in the same way over every protocol.

// Names of the frontends in the variable front.
const (
	frontendThrift = "thrift"
	frontendHTTP   = "http"
)

// FromHTTP makes a Request from an HTTP request and its body, which the caller has read. Header
// names are in lower case, and each header has its first value.
func FromHTTP(r *http.Request, body []byte) Request {
	headers := make(map[string]string, len(r.Header))
	for name, values := range r.Header {
		if len(values) > 0 {
			headers[strings.ToLower(name)] = values[0]
		}
	}
	return Request{Frontend: frontendHTTP, Method: r.Method, Path: r.URL.Path, Headers: headers, Body: body}
}

// CGIHeaderName returns the header name, in lower case, for a CGI variable as uwsgi passes it:
// HTTP_IDEMPOTENCY_KEY becomes idempotency-key, CONTENT_TYPE and CONTENT_LENGTH become
// content-type and content-length. It returns false for variables that are not headers.
func CGIHeaderName(variable string) (string, bool) {
	name, ok := strings.CutPrefix(variable, "HTTP_")
	if !ok && variable != "CONTENT_TYPE" && variable != "CONTENT_LENGTH" {
		return "", false
	}
	if !ok {
		name = variable
	}
	return strings.ToLower(strings.ReplaceAll(name, "_", "-")), true
}

// FromThrift makes a Request from a Thrift call, with the call's fields as headers.
func FromThrift(fields map[string]string, body []byte) Request {
	return Request{Frontend: frontendThrift, Headers: fields, Body: body}
}
