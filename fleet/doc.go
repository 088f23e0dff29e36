// Package fleet makes processes of the program act together. A small group of
// voters agrees on who owns each piece of fleet work (package lease over package
// consensus). All members learn of each other and of the results by gossip
// (package gossip). Every receiver refuses what a former owner still sends
// (lease.Fence).
//
// A [Fleet] is one process's membership. It has four units, and each owns its state:
//
//	unit           files                     state                       written by
//	-------------  ------------------------  --------------------------  ------------------------------------
//	stateMachine   state_machine.go,         leases, free rights of the  the goroutine of consensus.Node
//	               log_entries.go            quotas, record of rollouts
//	healthView     dependency_health.go      latest health of the        gossip's goroutines, the checker
//	                                         shared dependency
//	healthChecker  health_checker.go         token that it probes under  its own goroutine
//	QuotaAgent     quota_agent.go,           this member's rights, and   gossip's and consensus' goroutines,
//	               quota_messages.go         the allocator's leader      its ticker, callers of TryAcquire
//	rolloutDriver  rollout_driver.go,        reports, directives, the    gossip's goroutines, its ticker,
//	               rollout_operations.go     number of settings in use   the goroutine that applies settings
//
// Each state but the checker's has a mutex. A QuotaAgent locks the stateMachine's
// while it holds its own, never the other way round; nothing is sent under a lock.
// Only voters have a stateMachine.
//
// # Leases
//
//	lease         its owner, a voter
//	------------  -----------------------------------------------------------------
//	HealthLease   probes the shared dependency, and publishes its health
//	QuotaLease    grants rights to members, and reclaims those of fenced ones
//	RolloutLease  compares changed servers with others, and takes the rollout's steps
//
// An owner asks [Fleet.Owner] right before each act, and sends the token with it. The
// log refuses commands under a token that is not the present grant's, receivers of
// gossip refuse tokens lower than the highest that they have seen.
//
// # Start and stop
//
// [Start] creates the quota agents and the rollout driver, then starts the voter
// (transport, then log), gossip, and at last the three workers. A step that fails
// stops the voter again. [Fleet.Stop] ends the workers, resigns the leases and
// waits until the log has that, transfers leadership, leaves gossip, and stops the
// log and its transport.
//
// The algorithms, with their sources, are those of the packages lease, consensus,
// gossip, quota and rollout.
package fleet
