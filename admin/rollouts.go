package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"quincerail.example/quincerail/fleet"
	"quincerail.example/quincerail/fleet/rollout"
)

// maxRolloutBytes is the maximum size of a RolloutRequest. Its settings may be as long as those
// of a configuration.
const maxRolloutBytes = 4 << 20

// RolloutRequest is the body of an operator's request to start a rollout.
type RolloutRequest struct {
	Plan     rollout.Plan    `json:"plan"`
	Settings json.RawMessage `json:"settings,omitempty"` // JSON merge patch, only in a rollout of settings
}

// NewRolloutHandler returns the endpoint for rollouts. GET returns a fleet.RolloutStatus. POST
// starts the rollout of a RolloutRequest. DELETE halts the rollout with the query's id, and
// records the query's reason.
func NewRolloutHandler(member *fleet.Fleet) http.Handler {
	return &resource{
		get:          func() (any, error) { return member.RolloutStatus() },
		maxBodyBytes: maxRolloutBytes,
		create: func(ctx context.Context, body *json.Decoder) error {
			var request RolloutRequest
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
