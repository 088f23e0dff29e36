package decision

// Outcome tells how a run or a call to the dependency ended. The answer that a caller gets
// is another matter: see Host.Shed, Host.Fail and Host.ServeCached.
type Outcome int

// The outcomes of runs and calls.
const (
	Succeeded       Outcome = iota
	Failed                  // a run or call failed; a call may have had its effect
	Rejected                // the dependency turned a call away without running it
	TimedOut                // a call timed out and was abandoned; it may have had its effect
	ConnectFailed           // a call never reached the dependency
	ConnectionReset         // a call's connection broke; it may have had its effect
	Cancelled               // a run was cancelled
	NotStarted              // a run was not started, as its request was over
)

// ProvesNoEffect tells whether a call that ended so is proven to have had no effect: the
// dependency turned it away or was never reached.
func (o Outcome) ProvesNoEffect() bool { return o == Rejected || o == ConnectFailed }
