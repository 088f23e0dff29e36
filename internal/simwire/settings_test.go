package simwire

import (
	"reflect"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

// profileWithAllFields has a different value in each field.
const profileWithAllFields = `{"servers": 1, "quantumUs": 2, "overShareWorth": 3.5,
	"familyInfo": {"cores": 4, "senders": 5, "justStarted": true, "memoryKb": 6.5, "keyKb": 7.5, "runFactor": 8.5,
		"callsOut": 9.5, "dependsOn": "next_hop", "stopMode": "drop", "say": "tokens", "callsOverUs": 10,
		"staysForUs": 11, "freshUs": 12, "idleUs": 13, "heededUs": 14, "callsByClass": [false, true], "readiness": true,
		"degradedWorth": [15.5]},
	"caps": {"retryAfter": true, "maxRetryAfterUs": 16},
	"obligations": {"answerSlackUs": 17, "drainGraceUs": 18, "overloadForUs": 19, "coldUs": 20, "fallMultiple": 21.5, "coldFrom": 22.5},
	"lanes": [
		{"goalTimeUs": 23, "hardLimitUs": 24, "windowUs": 25, "aimStretch": 26.5, "lateWorth": 27.5, "gain": 28.5, "semantics": "guarded"},
		{"semantics": "single_shot"}, {"semantics": "free"}, {"semantics": "silent"}],
	"realms": [{"quotaRps": 29.5}, {}]}`

// TestSettings_MapsEveryField checks that each field of the wire's profile is mapped to its
// setting.
func TestSettings_MapsEveryField(t *testing.T) {
	const us = time.Microsecond
	want := decision.Settings{
		Servers: 1, BatchInterval: 2 * us, OverQuotaWeight: 3.5, Cores: 4, Callers: 5, SlowStart: true, MemoryKB: 6.5, KeyMemoryKB: 7.5,
		RunningMemoryFactor: 8.5, CallQuota: 9.5, Dependency: decision.NextTier, CancelMode: decision.CancelDiscard,
		LoadReportMode: decision.LoadReportCredit, CallQuotaWindow: 10 * us, AbandonedCallDuration: 11 * us, CacheTTL: 12 * us,
		MaxIdleTime: 13 * us, LoadReportTTL: 14 * us, EndpointListOmitsUnhealthy: true, MaxRetryAfter: 16 * us, DeadlineSlack: 17 * us,
		DrainGrace: 18 * us, OverloadWindow: 19 * us, SlowStartDuration: 20 * us, OverloadRatio: 21.5, SlowStartMinSpeed: 22.5,
		Classes: []decision.Class{
			{
				LatencyObjective: 23 * us, Deadline: 24 * us, KeyWindow: 25 * us, ObjectivePerCost: 26.5, LateWeight: 27.5, Weight: 28.5,
				Idempotency: decision.Keyed, DegradedWeight: 15.5,
			},
			{Idempotency: decision.NonIdempotent, CallsDependency: true},
			{},
			{},
		},
		Tenants: []decision.Tenant{{Quota: 29.5}, {}},
	}
	got, err := Settings(profileWithAllFields)
	if err == nil {
		t.Error(`Settings with semantics "silent" succeeded, want an error`)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("Settings = %+v\nwant %+v", got, want)
	}
	if s, err := Settings(`{"caps": {"maxRetryAfterUs": 16}}`); err != nil || s.MaxRetryAfter != 0 {
		t.Errorf("without caps.retryAfter: MaxRetryAfter = %v, error = %v; want 0, nil", s.MaxRetryAfter, err)
	}
}
