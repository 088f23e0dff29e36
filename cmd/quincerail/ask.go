package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

// voter is where a command asks.
type voter struct {
	Address string `required:"" help:"Where operators call a voter (fleet.operators in its operator's file)."`
}

// call asks the voter; answer takes what it says, nil for nothing.
func (v voter) call(method, path string, query url.Values, body, answer any) error {
	var in bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&in).Encode(body); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	u := url.URL{Scheme: "http", Host: v.Address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequest(method, u.String(), &in)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	resp, err := (&http.Client{Timeout: 10 * time.Second}).Do(req)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		why, _ := io.ReadAll(io.LimitReader(resp.Body, 4096)) // without it the status says enough
		return fmt.Errorf("%s: %s: %s", path, resp.Status, bytes.TrimSpace(why))
	}
	if answer == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(answer); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
