package rollout

import (
	"encoding/json"
	"fmt"

	"quincerail.example/quincerail/fleet/lease"
)

// Directive is the owner's word to a server on the settings that it is to run. In
// CBOR it is an array: the order of the fields is part of the format.
type Directive struct {
	_              struct{}    `cbor:",toarray"`
	Token          lease.Token // of the owner's lease
	Index          uint64      // of the record that it goes by
	SettingsNumber uint64      // 0 for the server's own file
	Patch          []byte      // JSON merge patch (RFC 7396) on the settings of its own file
}

// Follower is a server's side of settings in numbered versions: it takes them
// over, or turns them down with a reason, and keeps the last good ones whatever
// becomes of the stream. It is not safe for concurrent use.
type Follower struct {
	token   lease.Token
	index   uint64
	number  uint64 // in force
	patch   json.RawMessage
	refused uint64
	reason  string
}

// Settings is that of the settings in force; turnedDown is that of those it turned
// down last, 0 for none, and why.
func (f *Follower) Settings() (n, turnedDown uint64, reason string) {
	return f.number, f.refused, f.reason
}

// Patch is that of the settings in force, nil for the server's own file.
func (f *Follower) Patch() json.RawMessage { return f.patch }

// Accept decides whether a direction is to be carried out: Done then says what
// came of it. The error is why it is refused: a later owner, or a later record,
// has been heard of.
func (f *Follower) Accept(d Directive) (apply bool, err error) {
	if d.Token.Compare(f.token) < 0 {
		return false, &lease.StaleError{Lease: "rollout", Token: d.Token, Highest: f.token}
	}
	if d.Index < f.index {
		return false, fmt.Errorf("rollout: a direction of entry %d, %d was seen", d.Index, f.index)
	}
	f.token, f.index = d.Token, d.Index
	return d.SettingsNumber != f.number && d.SettingsNumber != f.refused, nil
}

// Applied takes in what came of a direction: nil, or why its settings were turned
// down.
func (f *Follower) Applied(d Directive, err error) {
	if err != nil {
		f.refused, f.reason = d.SettingsNumber, err.Error()
		return
	}
	f.number, f.patch = d.SettingsNumber, d.Patch
	f.refused, f.reason = 0, ""
}
