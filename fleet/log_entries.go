package fleet

import (
	"encoding/json"
	"log/slog"

	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/fleet/quota"
	"quincerail.example/quincerail/fleet/rollout"
)

// command is an entry of the voters' log: one of its members is set. The tag makes
// the embedded *lease.Command a member of its own, "lease", whatever the type is
// called.
type command struct {
	*lease.Command `json:"lease,omitempty"`
	Quota          *quotaCommand   `json:"bank,omitempty"`
	Rollout        *rolloutCommand `json:"rollout,omitempty"`
}

// rolloutCommand changes the record of rollouts: a step under the token of
// RolloutLease, or an operator's command, whose nonce names the waiting caller.
type rolloutCommand struct {
	Token   lease.Token     `json:"token,omitzero"`
	Nonce   uint64          `json:"nonce,omitempty"`
	Command rollout.Command `json:"order"`
}

// quotaCommand changes the allocator of a quota, under the token of QuotaLease.
type quotaCommand struct {
	Budget  string        `json:"of"`
	Token   lease.Token   `json:"token"`
	Command quota.Command `json:"order"`
}

// snapshot is the state of a stateMachine in the log's snapshots.
type snapshot struct {
	Leases     *lease.Table                `json:"leases"`
	Allocators map[string]*quota.Allocator `json:"banks,omitempty"`
	Record     rollout.Record              `json:"rollout"`
}

// encodeLeaseCommands encodes commands on leases as entries of the log.
func encodeLeaseCommands(log *slog.Logger, leaseCommands []lease.Command) [][]byte {
	commands := make([]command, len(leaseCommands))
	for i := range leaseCommands {
		commands[i].Command = &leaseCommands[i]
	}
	return encodeCommands(log, commands...)
}

// encodeCommands encodes commands as entries of the log. One that can't be encoded
// is logged and left out.
func encodeCommands(log *slog.Logger, commands ...command) [][]byte {
	var entries [][]byte
	for _, c := range commands {
		entry, err := json.Marshal(c)
		if err != nil {
			log.Error(eventCommandEncodeFailed, "error", err.Error())
			continue
		}
		entries = append(entries, entry)
	}
	return entries
}
