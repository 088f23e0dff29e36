package decision

// Outcome says how a run or a call to the dependency ended. The answer to the caller is
// separate: see Host.Shed, Host.Fail and Host.ServeCached.
type Outcome int

// The outcomes of runs and calls.
const (
	Succeeded       Outcome = iota
	Failed                  // a run or call failed; a call may have had its effect
	Rejected                // the dependency rejected a call without running it
	TimedOut                // a call timed out and was abandoned; it may have had its effect
	ConnectFailed           // a call never reached the dependency
	ConnectionReset         // a call's connection broke; it may have had its effect
	Cancelled               // a run was cancelled
	NotStarted              // a run did not start, so it had no effect
)

// ProvesNoEffect reports whether a call with this outcome certainly had no effect: the
// dependency rejected it, or it never reached the dependency.
func (o Outcome) ProvesNoEffect() bool { return o == Rejected || o == ConnectFailed }
