package server

import (
	"context"
	"encoding/json"
	"errors"
	"net/url"

	"quincerail.example/quincerail/fleet"
)

// VoterRequest is what operators send to add a voter.
type VoterRequest struct {
	Name    string `json:"name"`
	Address string `json:"address"` // where the other voters reach it
}

// newVotersDoor is where operators call about the fleet's voters, at the path
// /voters: GET a list of fleet.VoterStatus, POST a VoterRequest (the voter joins),
// DELETE the voter of the query's name leaves for good.
func newVotersDoor(f *fleet.Fleet) *fleetDoor {
	return &fleetDoor{
		tell:     func() (any, error) { return f.Voters() },
		mostBody: 4096,
		begin: func(ctx context.Context, body *json.Decoder) error {
			var v VoterRequest
			if err := body.Decode(&v); err != nil {
				return badBody{err}
			}
			if v.Name == "" || v.Address == "" {
				return badBody{errors.New("a name and an address wanted")}
			}
			return f.AddVoter(ctx, v.Name, v.Address)
		},
		end: func(ctx context.Context, query url.Values) error { return f.RemoveVoter(ctx, query.Get("name")) },
	}
}
