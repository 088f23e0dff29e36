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
	voterTimeout  = 10 * time.Second // for a request to a voter, until its response is read
	maxErrorBytes = 4096             // longest part of a voter's error response that is printed
)

// voterClient is an HTTP client for a voter's operator API. The sub-commands that call a voter
// embed it, which adds the flag with the voter's address.
type voterClient struct {
	Address string `required:"" help:"HOST:PORT of a voter's operator API (fleet.operators in its operator's file)."`
}

// call sends a request to the voter, and decodes the response into result unless result is
// nil. A body that isn't nil is sent as JSON. The error's text begins with the path.
func (v voterClient) call(method, path string, query url.Values, body, result any) error {
	if err := v.send(method, path, query, body, result); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

func (v voterClient) send(method, path string, query url.Values, body, result any) error {
	request, err := v.newRequest(method, path, query, body)
	if err != nil {
		return err
	}
	response, err := (&http.Client{Timeout: voterTimeout}).Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // the response is read, so an error of Close doesn't matter
	if response.StatusCode < http.StatusOK || response.StatusCode >= http.StatusMultipleChoices {
		reason, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes)) // if the body can't be read, the status is reported without it
		return &voterError{status: response.Status, reason: bytes.TrimSpace(reason)}
	}
	if result == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(result)
}

func (v voterClient) newRequest(method, path string, query url.Values, body any) (*http.Request, error) {
	var encoded bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&encoded).Encode(body); err != nil {
			return nil, err
		}
	}
	u := url.URL{Scheme: "http", Host: v.Address, Path: path, RawQuery: query.Encode()}
	return http.NewRequestWithContext(context.Background(), method, u.String(), &encoded)
}

// voterError is a voter's response with a status other than 2xx.
type voterError struct {
	status string
	reason []byte
}

// Error returns the status and the response's body.
func (e *voterError) Error() string { return fmt.Sprintf("%s: %s", e.status, e.reason) }
