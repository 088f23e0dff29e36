package faultsoak

import (
	"encoding/json"
	"fmt"
	"time"
)

// The request classes in the settings of the nodes, with their deadlines, and further
// limits in these settings.
const (
	SafeClass       = "page"
	SafeDeadline    = 3 * time.Second
	HistoryClass    = "history"
	HistoryDeadline = 1500 * time.Millisecond
	KeyedClass      = "gift"
	KeyedDeadline   = 2500 * time.Millisecond
	keyedWindow     = 8 * time.Second
	drainGrace      = time.Second
	answerSlack     = 60 * time.Millisecond
)

// MinKillDelay is the shortest time between the platform's SIGTERM and SIGKILL: the longest
// deadline, capped at 3 s, plus 0.7 s.
const MinKillDelay = 3700 * time.Millisecond

// DefaultRuleSettings are the limits that the settings of the nodes state.
var DefaultRuleSettings = RuleSettings{Grace: drainGrace, AnswerSlack: answerSlack, Window: keyedWindow}

// DefaultConfig returns a configuration in the platform's format, without addresses. Its
// stop_ms is greater than MinKillDelay.
func DefaultConfig() (map[string]any, error) {
	text := fmt.Sprintf(`{
  "seed": "8c1f30d27a5be964", "stop_ms": 6000,
  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
  "settings": {
    "az": 0, "callers": {"marksRetry": false},
    "caps": {"cpuUsPerRequest": 0.0, "cpuUsPerS": 62821, "maxRetryAfterUs": 1000000, "retryAfter": true},
    "family": "server",
    "familyInfo": {
      "callsByClass": [true, false, true], "callsOut": 6.0, "callsOverUs": 5000000, "cores": 6,
      "degradedWorth": [0.6, 0.0, 0.0], "dependsOn": "common", "freshUs": 0, "fullChecks": true,
      "heededUs": 1000000, "idleUs": 5000000, "justStarted": false, "keyKb": 66.53, "memoryKb": 28248.0,
      "ownStats": ["core_use", "on_cores", "heap_share", "links"], "passesDeadline": false,
      "readiness": true, "runFactor": 16.0, "say": "silent", "senders": 3, "staysForUs": 200000,
      "stopMode": "drop", "tellsGone": true},
    "lanes": [
      {"gain": 1.0, "goalTimeUs": 1500000, "hardLimitUs": %d, "lateWorth": 0.2, "name": %q, "semantics": "free", "windowUs": 5000000},
      {"gain": 2.0, "goalTimeUs": 900000, "hardLimitUs": %d, "lateWorth": 0.0, "name": %q, "semantics": "free", "windowUs": 5000000},
      {"gain": 3.0, "goalTimeUs": 1200000, "hardLimitUs": %d, "lateWorth": 0.2, "name": %q, "semantics": "guarded", "windowUs": %d}],
    "loadReport": {"fields": ["latency_ms", "inflight", "queue"], "via": "piggyback"},
    "obligations": {"answerSlackUs": %d, "coldFrom": 0.22, "coldUs": 18000000, "drainGraceUs": %d,
      "fallMultiple": 8.0, "overloadForUs": 1500000},
    "ordinal": 0, "overShareWorth": 0.1,
    "prices": {"connection": 0.0, "handshake": 0.01, "lateFail": 0.05, "origin": 0.02, "waste": 0.054},
    "quantumUs": 4000, "realms": [],
    "scoreParts": {"whole": 0.65, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.15},
    "servers": 1, "tier": 0, "tiers": ["server"], "valueBy": "request", "zones": ["z1"]}}`,
		SafeDeadline.Microseconds(), SafeClass, HistoryDeadline.Microseconds(), HistoryClass,
		KeyedDeadline.Microseconds(), KeyedClass, keyedWindow.Microseconds(),
		answerSlack.Microseconds(), drainGrace.Microseconds())
	config := map[string]any{}
	if err := json.Unmarshal([]byte(text), &config); err != nil {
		return nil, fmt.Errorf("faultsoak: %w", err)
	}
	return config, nil
}
