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

// VoterRequest is the body of an operator's request to add a voter.
type VoterRequest struct {
	Name    string `json:"name"`
	Address string `json:"address"` // to which the other voters connect
}

// NewVoterHandler returns the endpoint for the fleet's voters. GET returns a list of
// fleet.VoterStatus. POST adds the voter of a VoterRequest. DELETE removes the voter with the
// query's name permanently.
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
