package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"time"

	"quincerail.example/quincerail/fleet"
)

// Paths of the endpoints. On the wire, a rollout is called a change.
const (
	PathRollouts = "/changes"
	PathVoters   = "/voters"
)

// requestTimeout bounds the time until the fleet's log has accepted an operator's request.
const requestTimeout = 5 * time.Second

// NewHandler returns the handler of all endpoints, which act on member's fleet.
func NewHandler(member *fleet.Fleet) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(PathRollouts, NewRolloutHandler(member))
	mux.Handle(PathVoters, NewVoterHandler(member))
	return mux
}

// resource is an endpoint for one kind of object of the fleet: GET returns the status in JSON,
// POST creates an object, DELETE removes one. The response to a failed request has the text of
// the error and one of these statuses:
//
//	400  the body is malformed or incomplete
//	409  the fleet refused the request
//	421  this process is not a voter
//	503  the fleet's log did not accept the request within requestTimeout
type resource struct {
	get          func() (any, error)
	maxBodyBytes int64 // limit on the body of POST
	create       func(ctx context.Context, body *json.Decoder) error
	remove       func(ctx context.Context, query url.Values) error
}

// malformedBodyError reports that a request's body is malformed or incomplete.
type malformedBodyError struct{ err error }

// Error returns the text of the reason.
func (e *malformedBodyError) Error() string { return e.err.Error() }

// Unwrap returns the reason.
func (e *malformedBodyError) Unwrap() error { return e.err }

// ServeHTTP implements http.Handler.
func (e *resource) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	switch r.Method {
	case http.MethodGet:
		e.serveStatus(w)
	case http.MethodPost:
		body := json.NewDecoder(http.MaxBytesReader(w, r.Body, e.maxBodyBytes))
		writeResult(w, e.create(ctx, body))
	case http.MethodDelete:
		writeResult(w, e.remove(ctx, r.URL.Query()))
	default:
		w.Header().Set("Allow", "GET, POST, DELETE")
		http.Error(w, r.Method, http.StatusMethodNotAllowed)
	}
}

func (e *resource) serveStatus(w http.ResponseWriter) {
	status, err := e.get()
	if err != nil {
		writeResult(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status) // fails if the operator has disconnected
}

// writeResult answers a POST or DELETE whose result is err, or a GET that failed with err.
func writeResult(w http.ResponseWriter, err error) {
	if err == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	http.Error(w, err.Error(), statusCode(err))
}

// statusCode returns the HTTP status for an error (see resource).
func statusCode(err error) int {
	var malformed *malformedBodyError
	switch {
	case errors.As(err, &malformed):
		return http.StatusBadRequest
	case errors.Is(err, fleet.ErrNotVoter):
		return http.StatusMisdirectedRequest
	case errors.Is(err, context.DeadlineExceeded):
		return http.StatusServiceUnavailable
	}
	return http.StatusConflict
}
