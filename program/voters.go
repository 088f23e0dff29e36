package program

import (
	"encoding/json"
	"errors"
	"net/http"

	"quincerail.example/quincerail/fleet"
)

// VoterRequest is what operators send to add a voter.
type VoterRequest struct {
	Name    string `json:"name"`
	Address string `json:"address"` // where the other voters reach it
}

// votersDoor is where operators call about the fleet's voters, over HTTP, at the
// path /voters, with the answers of changesDoor:
//
//	GET     a list of fleet.VoterStatus
//	POST    a VoterRequest: the voter joins
//	DELETE  the voter of the query's name leaves for good
type votersDoor struct{ fleet *fleet.Fleet }

// ServeHTTP implements http.Handler.
func (d votersDoor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := askContext(r)
	defer cancel()
	var err error
	switch r.Method {
	case http.MethodGet:
		var voters []fleet.VoterStatus
		if voters, err = d.fleet.Voters(); err == nil {
			answerJSON(w, voters)
			return
		}
	case http.MethodPost:
		var v VoterRequest
		if err = json.NewDecoder(http.MaxBytesReader(w, r.Body, 4096)).Decode(&v); err == nil && (v.Name == "" || v.Address == "") {
			err = errors.New("a name and an address wanted")
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		err = d.fleet.AddVoter(ctx, v.Name, v.Address)
	case http.MethodDelete:
		err = d.fleet.RemoveVoter(ctx, r.URL.Query().Get("name"))
	default:
		refuseMethod(w, r)
		return
	}
	answer(w, err)
}
