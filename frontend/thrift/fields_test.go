package thrift

import (
	"testing"

	protocol "quincerail.example/quincerail/protocol/thrift"
)

// TestFieldKeys_MatchWireNames pins the field keys that balancers write and read. The other
// tests of this package use the constants, so they would not detect a changed key.
func TestFieldKeys_MatchWireNames(t *testing.T) {
	for constant, key := range map[string]string{
		protocol.FieldClass:            "verb",
		protocol.FieldTenant:           "team",
		protocol.FieldAttemptID:        "txn",
		protocol.FieldArrivedAt:        "door",
		protocol.FieldTimeout:          "limit",
		protocol.FieldCaller:           "lb",
		protocol.FieldReservedMemory:   "ram",
		protocol.FieldRank:             "standing",
		protocol.FieldIdempotencyKey:   "unique",
		protocol.FieldCacheKey:         "item",
		protocol.FieldRetryAfter:       "later",
		protocol.FieldNoRetryElsewhere: "giveup",
		protocol.FieldLoadReport:       "feedback",
	} {
		if constant != key {
			t.Errorf("field key = %q, want %q", constant, key)
		}
	}
}
