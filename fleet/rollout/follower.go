package rollout

import (
	"encoding/json"

	"quincerail.example/quincerail/fleet/lease"
)

// Directive tells a server which settings to run; the owner of the rollout's
// lease sends it. In CBOR it is an array: the order of the fields is part of the
// format.
type Directive struct {
	_              struct{}    `cbor:",toarray"`
	Token          lease.Token // fencing token of the owner's lease
	Index          uint64      // of the record that it was made from
	SettingsNumber uint64      // 0 for the server's own file
	Patch          []byte      // JSON merge patch (RFC 7396) on the settings of the server's own file
}

// Follower is a server's side of numbered settings: it accepts directives, and
// keeps the last settings that could be applied when it rejects later ones or the
// stream breaks. It is not safe for concurrent use.
type Follower struct {
	token           lease.Token
	index           uint64
	settingsNumber  uint64 // number of those in force
	patch           json.RawMessage
	rejectedNumber  uint64 // number of the settings that were rejected last, 0 for none
	rejectionReason string
}

// Settings returns the number of the settings in force, and that of the settings
// that were rejected last with the reason, 0 for none.
func (f *Follower) Settings() (number, rejected uint64, reason string) {
	return f.settingsNumber, f.rejectedNumber, f.rejectionReason
}

// Patch returns the settings in force, nil for those of the server's own file.
func (f *Follower) Patch() json.RawMessage { return f.patch }

// Accept reports whether a directive is to be carried out; Applied then takes in
// the result. It returns a *lease.StaleTokenError where the directive is of an earlier
// owner than one that was seen, and a *StaleDirectiveError where it was made from
// an earlier record.
func (f *Follower) Accept(d Directive) (apply bool, err error) {
	if d.Token.Compare(f.token) < 0 {
		return false, &lease.StaleTokenError{Lease: "rollout", Token: d.Token, Highest: f.token}
	}
	if d.Index < f.index {
		return false, &StaleDirectiveError{Index: d.Index, Highest: f.index}
	}
	f.token, f.index = d.Token, d.Index
	return d.SettingsNumber != f.settingsNumber && d.SettingsNumber != f.rejectedNumber, nil
}

// RecordResult takes in the result of a directive that was carried out: nil, or why
// its settings were rejected.
func (f *Follower) RecordResult(d Directive, err error) {
	if err != nil {
		f.rejectedNumber, f.rejectionReason = d.SettingsNumber, err.Error()
		return
	}
	f.settingsNumber, f.patch = d.SettingsNumber, d.Patch
	f.rejectedNumber, f.rejectionReason = 0, ""
}
