package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"quincerail.example/quincerail/fleet"
	"quincerail.example/quincerail/fleet/rollout"
)

// maxRolloutBytes bounds a ChangeRequest, whose settings may be as long as a configuration.
const maxRolloutBytes = 4 << 20

// ChangeRequest is what operators send to start a rollout: its plan and, in a rollout of
// settings, the settings.
type ChangeRequest struct {
	Plan     rollout.Plan    `json:"plan"`
	Settings json.RawMessage `json:"settings,omitempty"`
}

// NewRolloutHandler returns the endpoint for rollouts: GET returns a fleet.RolloutStatus,
// POST takes a ChangeRequest, DELETE halts the plan that the query's id names, for the
// query's reason.
func NewRolloutHandler(member *fleet.Fleet) http.Handler {
	return &resource{
		get:          func() (any, error) { return member.RolloutStatus() },
		maxBodyBytes: maxRolloutBytes,
		create: func(ctx context.Context, body *json.Decoder) error {
			var request ChangeRequest
			body.DisallowUnknownFields()
			if err := body.Decode(&request); err != nil {
				return &malformedBodyError{err}
			}
			return member.StartRollout(ctx, request.Plan, request.Settings)
		},
		remove: func(ctx context.Context, query url.Values) error {
			return member.StopRollout(ctx, query.Get("id"), query.Get("reason"))
		},
	}
}
