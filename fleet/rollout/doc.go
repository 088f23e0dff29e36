// Package rollout decides how a change of the program, or of its settings, is rolled
// out in stages: which servers get it next, whether the changed servers do worse than
// those with the old version, and when all servers roll back. It follows the model of
// etcd's raft package: pure state machines, with I/O, clocks and goroutines left to
// the caller (package fleet).
//
// # Parts
//
//   - Plan and State: the staged rollout. Plan.Step takes the samples of one
//     window and returns the next State and a Decision.
//   - Record and Command: the state machine of the voters' replicated log and its
//     entries. Record.Apply is deterministic, so all voters that applied the same
//     commands have the same record. Record.NextCommand returns the command that
//     records a step.
//   - Collector: turns the reports of servers into the samples of a window.
//   - Follower: a server's side of numbered settings. It accepts or rejects the
//     directives of the owner of the rollout's lease.
//
// No type starts a goroutine or reads a clock. Plan.Step and Record.Apply don't
// modify their arguments. Collector and Follower are not safe for concurrent use.
//
// # Phases
//
// The zero State is the beginning of a plan. A window that was already processed
// changes nothing, so a new owner may repeat it.
//
//	phase        event                                             next phase
//	(zero)       first window                                      Watching
//	Watching     histories suffice, or MaxWatchWindows passed      Replacing, stage 0
//	Replacing    all servers of the cohort run the new version     Baking
//	Replacing    settings rejected, crashes, or MaxWindows passed  RollingBack
//	Baking       no test found worse, and the evidence suffices    Replacing, next stage
//	Baking       MaxWindows passed, enough requests, and the next  Replacing, next stage
//	             stage is within Limits.UnprovenShare
//	Baking       enough windows, in the last stage                 Done
//	Baking       a test found worse, settings rejected, crashes,   RollingBack
//	             or MaxWindows passed otherwise
//	any of these Plan.Stop, by an operator                         RollingBack
//	RollingBack  all servers report the old version                Halted
//
// Done and Halted are final. A server without a report never counts as good: a stage
// waits for missing servers, and rolls back when MaxWindows have passed.
//
// # Terms
//
// The cohort is the set of servers that have the change. The baseline is the set of
// servers that keep the old version in the same windows. The history of a server
// contains its counts from the Watching phase, before any change. Histories weight the
// servers' requests, because machines differ. A stage bakes while its cohort is
// compared with the baseline.
//
// # Sources
//
// The tests are sequential probability ratio tests (Wald, "Sequential Tests of
// Statistical Hypotheses", 1945). Their evidence is divided by the dispersion of
// the counts (quasi-likelihood; McCullagh and Nelder, "Generalized Linear
// Models", 1989), because events come in bursts.
package rollout
