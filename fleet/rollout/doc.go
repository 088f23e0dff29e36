// Package rollout decides how a change of the program, or of its settings, goes
// out in stages: which servers get it next, whether a stage does worse than the
// servers that keep the old version, and when all servers roll back. It follows
// the model of etcd's raft package: pure state machines, with I/O, clocks and
// goroutines left to the caller (package fleet).
//
// # What the package owns
//
//   - Plan and State: the staged rollout. Plan.Step takes the samples of one
//     window and returns the next State and a Decision.
//   - Record and Command: what the voters' replicated log holds. Record.Apply is
//     deterministic, so that all voters that applied the same commands hold the
//     same record; Record.NextCommand makes the command that enters a step.
//   - Collector: turns the reports of servers into the samples of a window.
//   - Follower: a server's side of numbered settings, which accepts or refuses
//     the directives of the owner of the rollout's lease.
//
// No type starts a goroutine or reads a clock. Plan.Step and Record.Apply change
// none of their arguments; Collector and Follower are not safe for concurrent
// use.
//
// # Phases
//
// The zero State is the beginning of a plan. A window that was seen before
// changes nothing, so a new owner may play it again.
//
//	phase        event                                             next phase
//	(zero)       first window                                      Watching
//	Watching     histories suffice, or MaxWatchWindows passed      Replacing, stage 0
//	Replacing    all servers of the cohort run the new version     Baking
//	Replacing    settings rejected, crashes, or MaxWindows passed  RollingBack
//	Baking       no test says worse, and enough was shown          Replacing, next stage
//	Baking       the same, in the last stage                       Done
//	Baking       a test says worse, settings rejected, crashes,    RollingBack
//	             or MaxWindows passed
//	any of them  Plan.Stop, by an operator                         RollingBack
//	RollingBack  all servers report the old version                Halted
//
// Done and Halted are final. What is not reported never counts as good: a stage
// waits for the missing servers, and rolls back when MaxWindows have passed.
//
// # Terms
//
// The cohort are the servers that have the change, the baseline those that keep
// the old version in the same windows. The history of a server is what was
// counted while it was watched, before anything changed; it weighs the server's
// requests, because machines differ. A stage bakes while its cohort is compared
// with the baseline.
//
// # Sources
//
// The tests are sequential probability ratio tests (Wald, "Sequential Tests of
// Statistical Hypotheses", 1945). Their evidence is divided by the dispersion of
// the counts (quasi-likelihood; McCullagh and Nelder, "Generalized Linear
// Models", 1989), as events come in bursts.
package rollout
