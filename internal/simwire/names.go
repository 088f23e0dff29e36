package simwire

import "quincerail.example/quincerail/decision"

// Names of the messages that come in.
const (
	BatchStart  = "CLOCK"       // a batch of events begins, at a time
	BatchEnd    = "GO"          // the batch is complete: decide
	Start       = "HELLO"       // an instance starts
	Stop        = "EXIT"        // an instance has died
	RequestRead = "REQ"         // a request was read
	RunDone     = "WORK_DONE"   // a run ended
	CallerGone  = "CLIENT_GONE" // nobody waits for a request any more
	CallNeeded  = "NEEDS_DEP"   // a run waits for a call to the dependency
	CallDone    = "CAME_BACK"   // a call ended
	Drain       = "LEAVING"     // the instance's process is being stopped
	TimerDue    = "RING"        // a timer is due, with the gauges
)

// Names of the messages that go out: the actions of decision.Host, the end of a reply,
// and the failure of an instance.
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

	// EndOfReply ends the reply to a batch.
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
	fieldDuplicateOf = "earlier" // noDuplicate where there is none
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

// outcomes are the codes of runs and calls that ended.
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

// gauges are the names of the readings that come with a timer.
var gauges = map[string]func(*decision.Gauges) *float64{
	"core_use":   func(g *decision.Gauges) *float64 { return &g.CoreUtilization },
	"on_cores":   func(g *decision.Gauges) *float64 { return &g.RunnableTasks },
	"heap_share": func(g *decision.Gauges) *float64 { return &g.MemoryUtilization },
	"links":      func(g *decision.Gauges) *float64 { return &g.Connections },
}

// notGiven is the wire's word for a setting that has no value.
const notGiven = "silent"

// Words that the settings have for kinds.
var (
	dependencyKinds = map[string]decision.DependencyKind{
		"": decision.NoDependency, notGiven: decision.NoDependency,
		"common": decision.SharedDependency, "next_hop": decision.NextTier,
	}
	cancelModes = map[string]decision.CancelMode{
		"": decision.CancelNever, notGiven: decision.CancelNever,
		"drop": decision.CancelDiscard, "pause": decision.CancelPause,
	}
	loadReportModes = map[string]decision.LoadReportMode{
		"": decision.LoadReportNone, notGiven: decision.LoadReportNone,
		"min_rank": decision.LoadReportMinRank, "tokens": decision.LoadReportCredit, "bias": decision.LoadReportWeight,
	}
	effects = map[string]decision.Idempotency{
		"": decision.Idempotent, "free": decision.Idempotent,
		"guarded": decision.Keyed, "single_shot": decision.NonIdempotent,
	}
)
