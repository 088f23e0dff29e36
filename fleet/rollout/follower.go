package rollout

import (
	"encoding/json"

	"quincerail.example/quincerail/fleet/lease"
)

// Directive is a message from the owner of the rollout's lease that tells a server which
// settings to run. It is an array in CBOR: the order of the fields is part of the
// format.
type Directive struct {
	_              struct{}    `cbor:",toarray"`
	Token          lease.Token // fencing token of the owner's lease
	Index          uint64      // log index of the owner's record
	SettingsNumber uint64      // 0 for the settings of the server's own file
	Patch          []byte      // JSON merge patch (RFC 7396) on the settings of the server's own file
}

// Follower is a server's side of numbered settings. It accepts directives, and keeps the
// last settings that could be applied if later ones are rejected or no directives
// arrive. It is not safe for concurrent use.
type Follower struct {
	token           lease.Token // highest of the accepted directives
	index           uint64      // highest of the accepted directives
	settingsNumber  uint64      // of the settings in force
	patch           json.RawMessage
	rejectedNumber  uint64 // of the settings that were rejected last, 0 for none
	rejectionReason string
}

// Settings returns the number of the settings in force, and the number of the settings
// that were rejected last (0 for none) with the reason.
func (f *Follower) Settings() (number, rejected uint64, reason string) {
	return f.settingsNumber, f.rejectedNumber, f.rejectionReason
}

// Patch returns the settings patch in force, nil for the settings of the server's own
// file.
func (f *Follower) Patch() json.RawMessage { return f.patch }

// Accept checks a directive and reports whether the caller must apply its settings and
// pass the result to RecordResult. It returns a *lease.StaleTokenError if the directive
// has a lower fencing token than an accepted one, and a *StaleDirectiveError if it comes
// from an older record.
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

// RecordResult records the result of applying a directive's settings: nil, or the reason
// why the settings were rejected.
func (f *Follower) RecordResult(d Directive, err error) {
	if err != nil {
		f.rejectedNumber, f.rejectionReason = d.SettingsNumber, err.Error()
		return
	}
	f.settingsNumber, f.patch = d.SettingsNumber, d.Patch
	f.rejectedNumber, f.rejectionReason = 0, ""
}
