package match

import (
	"net/http"
	"strings"
)

// The frontends make a Request in the same way, so that one rule file classifies alike
// whatever protocol the request came over.

// The names of the frontends, as rules see them.
const (
	frontThrift = "thrift"
	frontHTTP   = "http"
)

// FromHTTP makes a Request of an HTTP request whose body is read: with header names in lower
// case, and the first value of each.
func FromHTTP(r *http.Request, body []byte) Request {
	headers := make(map[string]string, len(r.Header))
	for name, values := range r.Header {
		if len(values) > 0 {
			headers[strings.ToLower(name)] = values[0]
		}
	}
	return Request{Front: frontHTTP, Method: r.Method, Path: r.URL.Path, Headers: headers, Body: body}
}

// CGIHeader returns the header name of a CGI variable, as uwsgi has them:
// HTTP_IDEMPOTENCY_KEY is idempotency-key, and CONTENT_TYPE and CONTENT_LENGTH are headers
// too; false for other variables.
func CGIHeader(variable string) (string, bool) {
	name, ok := strings.CutPrefix(variable, "HTTP_")
	if !ok && variable != "CONTENT_TYPE" && variable != "CONTENT_LENGTH" {
		return "", false
	}
	if !ok {
		name = variable
	}
	return strings.ToLower(strings.ReplaceAll(name, "_", "-")), true
}

// FromFields makes a Request of a Thrift call: its fields are the headers.
func FromFields(fields map[string]string, body []byte) Request {
	return Request{Front: frontThrift, Headers: fields, Body: body}
}
