package thrift

import (
	"testing"

	protocol "quincerail.example/quincerail/protocol/thrift"
)

// TestFieldKeys keeps the keys of the fields as the balancers write and read them. The other
// tests of this package use the constants, and would not see a changed key.
func TestFieldKeys(t *testing.T) {
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
			t.Errorf("a field has the key %q, want %q", constant, key)
		}
	}
}
