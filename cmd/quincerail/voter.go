package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

const (
	voterTimeout  = 10 * time.Second // for a request to a voter, with its answer
	maxErrorBytes = 4096             // how much of a voter's error is printed
)

// voter is the flag of a sub-command that names the voter to ask, and the HTTP client for
// it. It is embedded in the sub-commands.
type voter struct {
	Address string `required:"" help:"Where operators call a voter (fleet.operators in its operator's file)."`
}

// call sends a request to the voter, and decodes the answer into answer unless that is
// nil. The error begins with the path.
func (v voter) call(method, path string, query url.Values, body, answer any) error {
	if err := v.send(method, path, query, body, answer); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

func (v voter) send(method, path string, query url.Values, body, answer any) error {
	request, err := v.newRequest(method, path, query, body)
	if err != nil {
		return err
	}
	response, err := (&http.Client{Timeout: voterTimeout}).Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // all of interest is read
	if response.StatusCode < http.StatusOK || response.StatusCode >= http.StatusMultipleChoices {
		reason, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes)) // without it the status says enough
		return &voterError{status: response.Status, reason: bytes.TrimSpace(reason)}
	}
	if answer == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(answer)
}

func (v voter) newRequest(method, path string, query url.Values, body any) (*http.Request, error) {
	var encoded bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&encoded).Encode(body); err != nil {
			return nil, err
		}
	}
	u := url.URL{Scheme: "http", Host: v.Address, Path: path, RawQuery: query.Encode()}
	return http.NewRequestWithContext(context.Background(), method, u.String(), &encoded)
}

// voterError is a voter's answer whose status reports an error.
type voterError struct {
	status string
	reason []byte
}

// Error returns the status and the reason.
func (e *voterError) Error() string { return fmt.Sprintf("%s: %s", e.status, e.reason) }
