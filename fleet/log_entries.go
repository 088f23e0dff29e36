package fleet

import (
	"encoding/json"
	"log/slog"

	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/fleet/quota"
	"quincerail.example/quincerail/fleet/rollout"
)

// command is an entry of the voters' log; exactly one of its fields is set. Because of
// its tag, the embedded *lease.Command is encoded as the member "lease"; without one,
// its fields would be inlined.
type command struct {
	*lease.Command `json:"lease,omitempty"`
	Quota          *quotaCommand   `json:"bank,omitempty"`
	Rollout        *rolloutCommand `json:"rollout,omitempty"`
}

// rolloutCommand changes the rollout record. It is either a step of the owner of
// RolloutLease, with that lease's token, or an operator's command, whose nonce
// identifies the caller that waits for the outcome.
type rolloutCommand struct {
	Token   lease.Token     `json:"token,omitzero"`
	Nonce   uint64          `json:"nonce,omitempty"`
	Command rollout.Command `json:"order"`
}

// quotaCommand changes the allocator of a quota. Token is that of QuotaLease.
type quotaCommand struct {
	QuotaName string        `json:"of"`
	Token     lease.Token   `json:"token"`
	Command   quota.Command `json:"order"`
}

// snapshot is the encoded form of a stateMachine in the log's snapshots.
type snapshot struct {
	Leases     *lease.Table                `json:"leases"`
	Allocators map[string]*quota.Allocator `json:"banks,omitempty"`
	Record     rollout.Record              `json:"rollout"`
}

// encodeLeaseCommands encodes lease commands as log entries, like encodeCommands.
func encodeLeaseCommands(log *slog.Logger, leaseCommands []lease.Command) [][]byte {
	commands := make([]command, len(leaseCommands))
	for i := range leaseCommands {
		commands[i].Command = &leaseCommands[i]
	}
	return encodeCommands(log, commands...)
}

// encodeCommands encodes commands as log entries. It logs and omits commands that
// can't be encoded.
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
