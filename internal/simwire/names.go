package simwire

import "quincerail.example/quincerail/decision"

// Names of the messages that the simulator sends.
const (
	BatchStart    = "CLOCK"       // starts a batch of events, with its time
	BatchEnd      = "GO"          // ends the batch: the instances decide and the host replies
	InstanceStart = "HELLO"       // an instance is started
	InstanceExit  = "EXIT"        // an instance was terminated
	RequestRead   = "REQ"         // a request was read
	RunDone       = "WORK_DONE"   // a run ended
	CallerGone    = "CLIENT_GONE" // the caller of a request no longer waits for the response
	CallNeeded    = "NEEDS_DEP"   // a run waits for a downstream call
	CallDone      = "CAME_BACK"   // a downstream call ended
	Drain         = "LEAVING"     // the instance has to drain, because its process will be stopped
	TimerDue      = "RING"        // a timer is due; has the current gauges
)

// Names of the messages that the host sends: the actions of decision.Host, the failure of an
// instance, and the end of a reply.
const (
	actionRun            = "START"
	actionCancel         = "PREEMPT"
	actionShed           = "BOUNCE"
	actionFail           = "SURRENDER"
	actionCall           = "REACH_OUT"
	actionSkipCall       = "BYPASS"
	actionCacheResult    = "RECORD_KEY"
	actionEvictResult    = "FORGET"
	actionServeCached    = "JOIN"
	actionSetHealth      = "FITNESS"
	actionPublishLoad    = "HINT_OUT"
	actionSetIdleTimeout = "IDLE"
	actionSetTimer       = "NOTIFY_ME"
	actionLog            = "SAY_LOG"
	instanceFailed       = "BAIL_OUT"

	// EndOfReply is the last line of the reply to a batch.
	EndOfReply = "YIELD"
)

// Names of the fields of messages. Times are in microseconds.
const (
	fieldInstance    = "instanceId"
	fieldRequest     = "xid"
	fieldTime        = "momentUs"
	fieldSeed        = "randomSeed"
	fieldSettings    = "profileData" // JSON, to the end of the line
	fieldClass       = "qos"
	fieldTenant      = "billing"
	fieldCacheKey    = "pathKey"
	fieldDeadline    = "notAfterUs" // of a request, or of a drain
	fieldCostHint    = "costUs"
	fieldReservedKB  = "heldKb"
	fieldRank        = "place"
	fieldRetry       = "retry"
	fieldWrite       = "isWrite"
	fieldCaller      = "from"
	fieldWaited      = "waitedUs"
	fieldDuplicateOf = "earlier" // noDuplicate if the request is no duplicate
	fieldOutcome     = "outcome"
	fieldTook        = "timeTakenUs"
	fieldToken       = "cookie"
	fieldGauges      = "stats"
	fieldRetryAfter  = "notBeforeForUs"
	fieldNoRetry     = "last"
	fieldTimeout     = "timeoutUs"
	fieldTTL         = "holdForUs"
	fieldCached      = "cached"
	fieldHealthy     = "on"
	fieldLoad        = "amount"
	fieldDelay       = "fromNowUs"
	fieldText        = "line" // to the end of the line

	noDuplicate = "0"
)

// outcomes maps the wire's codes to the outcomes of runs and downstream calls.
var outcomes = map[int64]decision.Outcome{
	200: decision.Succeeded,
	502: decision.Failed,
	429: decision.Rejected,
	408: decision.TimedOut,
	521: decision.ConnectFailed,
	520: decision.ConnectionReset,
	444: decision.Cancelled,
	409: decision.NotStarted,
}

// gauges maps the wire's names of gauges to their fields.
var gauges = map[string]func(*decision.Gauges) *float64{
	"core_use":   func(g *decision.Gauges) *float64 { return &g.CoreUtilization },
	"on_cores":   func(g *decision.Gauges) *float64 { return &g.RunnableTasks },
	"heap_share": func(g *decision.Gauges) *float64 { return &g.MemoryUtilization },
	"links":      func(g *decision.Gauges) *float64 { return &g.Connections },
}

// unset is the wire's word for a setting that has no value.
const unset = "silent"

// The wire's words for the enumerated settings. An empty or absent word means the default.
var (
	dependencyKinds = map[string]decision.DependencyKind{
		"": decision.NoDependency, unset: decision.NoDependency,
		"common": decision.SharedDependency, "next_hop": decision.NextTier,
	}
	cancelModes = map[string]decision.CancelMode{
		"": decision.CancelNever, unset: decision.CancelNever,
		"drop": decision.CancelDiscard, "pause": decision.CancelPause,
	}
	loadReportModes = map[string]decision.LoadReportMode{
		"": decision.LoadReportNone, unset: decision.LoadReportNone,
		"min_rank": decision.LoadReportMinRank, "tokens": decision.LoadReportCredit, "bias": decision.LoadReportWeight,
	}
	effects = map[string]decision.Idempotency{
		"": decision.Idempotent, "free": decision.Idempotent,
		"guarded": decision.Keyed, "single_shot": decision.NonIdempotent,
	}
)
