package middleware

import (
	"bytes"
	"io"
	"net/http"
	"slices"

	"quincerail.example/quincerail/protocol/httpresult"
	"quincerail.example/quincerail/routing"
)

// recorder is the http.ResponseWriter that a handler writes to.
type recorder struct {
	header http.Header
	sent   http.Header // as it was when the status was written
	status int
	body   bytes.Buffer
}

func newReader(b []byte) io.Reader { return bytes.NewReader(b) }

// Header implements http.ResponseWriter.
func (w *recorder) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *recorder) WriteHeader(status int) {
	if w.status == 0 && status >= http.StatusOK {
		w.status, w.sent = status, w.header.Clone()
	}
}

// Write implements http.ResponseWriter.
func (w *recorder) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(p)
}

// serve runs the handler. A panic in it must not end the process, as it does
// not under net/http.
func (w *recorder) serve(next http.Handler, r *http.Request) (panicked bool) {
	defer func() {
		if p := recover(); p != nil {
			panicked = true
			if p != http.ErrAbortHandler {
				logPanic(p)
			}
		}
	}()
	next.ServeHTTP(w, r)
	w.WriteHeader(http.StatusOK)
	return false
}

func (w *recorder) result() routing.Payload {
	names := make([]string, 0, len(w.sent))
	for name := range w.sent {
		names = append(names, name)
	}
	slices.Sort(names)
	var headers []routing.Field
	for _, name := range names {
		for _, value := range w.sent[name] {
			headers = append(headers, routing.Field{Name: name, Value: value})
		}
	}
	return httpresult.Encode(w.status, headers, w.body.Bytes())
}
