// Package fleet coordinates the processes of the program. A small group of voters
// agrees on who owns the lease on each fleet-wide task (package lease over package
// consensus). Gossip (package gossip) spreads the list of members and the owners'
// decisions to all members. Every receiver rejects messages from a former owner
// (lease.Fence).
//
// A [Fleet] is one process's membership. It has the following units, with one QuotaAgent
// for each configured quota. Each unit owns its state:
//
//	unit           files                     state                       written by
//	-------------  ------------------------  --------------------------  ------------------------------------
//	stateMachine   state_machine.go,         leases, free rights and     the goroutine of consensus.Node
//	               log_entries.go            members' accounts of the
//	                                         quotas, rollout record
//	healthView     dependency_health.go      latest health of the        gossip's goroutines, the checker
//	                                         shared dependency
//	healthChecker  health_checker.go         fencing token of its probe  its own goroutine
//	QuotaAgent     quota_agent.go,           this member's rights, and   gossip's and consensus' goroutines,
//	               quota_messages.go         the allocator's leader      its ticker, callers of TryAcquire
//	rolloutDriver  rollout_driver.go,        reports, directives, the    gossip's goroutines, its ticker,
//	               rollout_operations.go     number of settings in use   the goroutine that applies settings
//
// Each unit except the healthChecker has a mutex. A QuotaAgent locks the
// stateMachine's mutex while it holds its own; the reverse order never occurs. No
// message is sent while a mutex is held. Only voters have a stateMachine.
//
// # Leases
//
//	lease         task of its owner, a voter
//	------------  -----------------------------------------------------------------
//	HealthLease   probes the shared dependency and publishes its health
//	QuotaLease    grants rights to members and reclaims those of fenced members
//	RolloutLease  compares changed servers with the others and drives the rollout
//
// An owner checks that it holds its lease: the healthChecker before and after each
// probe and the rolloutDriver once per window, both with [Fleet.HoldsLease], and the
// QuotaAgent at each tick, with stateMachine.holdsLease. The fencing token goes with
// each log command, health update and rollout directive. The state machine rejects
// log commands whose token is not that of the current grant. Receivers of gossip
// reject tokens lower than the highest one seen.
//
// # Start and stop
//
// [Start] creates the quota agents and the rollout driver, then starts the voter
// (transport, then log), gossip, and finally the three workers. If a step fails, it
// stops the voter. [Fleet.Stop] stops the workers, resigns the leases and waits until
// the log has the resignations, transfers leadership, leaves gossip, and stops the
// log and its transport.
//
// The packages lease, consensus, gossip, quota and rollout describe the algorithms
// and name their sources.
package fleet
