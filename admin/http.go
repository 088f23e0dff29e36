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

// The paths of the endpoints. Rollouts are named changes on the wire.
const (
	PathRollouts = "/changes"
	PathVoters   = "/voters"
)

// requestTimeout is how long the fleet's log may take to accept an operator's request.
const requestTimeout = 5 * time.Second

// NewHandler returns the endpoints for a member's fleet.
func NewHandler(member *fleet.Fleet) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(PathRollouts, NewRolloutHandler(member))
	mux.Handle(PathVoters, NewVoterHandler(member))
	return mux
}

// resource is an endpoint about one thing of the fleet: GET returns its status in JSON,
// POST creates, DELETE removes. An error is answered with its text and one of
//
//	400  the request makes no sense
//	409  the request was refused
//	421  this process is no voter
//	503  the fleet's log takes no requests now
type resource struct {
	get          func() (any, error)
	maxBodyBytes int64 // of POST
	create       func(ctx context.Context, body *json.Decoder) error
	remove       func(ctx context.Context, query url.Values) error
}

// malformedBodyError reports that a request's body is malformed or incomplete.
type malformedBodyError struct{ err error }

// Error returns what is wrong with the body.
func (e *malformedBodyError) Error() string { return e.err.Error() }

// Unwrap returns what is wrong with the body.
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

// writeResult answers POST and DELETE, and any request that failed.
func writeResult(w http.ResponseWriter, err error) {
	if err == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	http.Error(w, err.Error(), statusOf(err))
}

func statusOf(err error) int {
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
