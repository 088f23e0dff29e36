package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"

	"quincerail.example/quincerail/fleet"
)

// maxVoterBytes bounds a VoterRequest.
const maxVoterBytes = 4096

var errIncompleteVoter = errors.New("a name and an address wanted")

// VoterRequest is what operators send to add a voter.
type VoterRequest struct {
	Name    string `json:"name"`
	Address string `json:"address"` // where the other voters reach it
}

// NewVoterHandler returns the endpoint for the fleet's voters: GET returns a list of
// fleet.VoterStatus, POST takes a VoterRequest and has the voter join, DELETE has the
// voter that the query's name names leave for good.
func NewVoterHandler(member *fleet.Fleet) http.Handler {
	return &resource{
		get:          func() (any, error) { return member.Voters() },
		maxBodyBytes: maxVoterBytes,
		create: func(ctx context.Context, body *json.Decoder) error {
			var request VoterRequest
			if err := body.Decode(&request); err != nil {
				return &malformedBodyError{err}
			}
			if request.Name == "" || request.Address == "" {
				return &malformedBodyError{errIncompleteVoter}
			}
			return member.AddVoter(ctx, request.Name, request.Address)
		},
		remove: func(ctx context.Context, query url.Values) error {
			return member.RemoveVoter(ctx, query.Get("name"))
		},
	}
}
