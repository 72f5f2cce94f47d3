// Package sitefailover handles the loss of an entire site: it determines which sites are lost, how a site recovers in steps, how
// the keys of a lost site are distributed over the others, and which requests all routers reject meanwhile.
//
// The leader of the policy quorum (package policycommit, run by internal/controlplane) has a Coordinator. Each router sends a
// Report with its lease renewals, and receives Orders with its leases, so that all routers follow the same orders. The Decision
// on a site is an entry of the quorum's raft log and outlives the leader. A router without recent orders falls back to its own
// evidence. Package internal/controlplane owns all values and calls this package under its lock; this package does no I/O, starts
// no goroutine and reads no clock: each call is given the current time of a monotonic clock.
//
// # State machine of a site
//
// The state is Decision.Stage with Decision.Step and Decision.Paused. Transitions are caused by evidence from the reports of all
// routers, see evidence.go, or by an operator's Command.
//
//	state       event                             guard                                next state
//	up          a quorum of other sites finds     for Plan.LostAfter; no server responds   lost
//	            its servers silent                at the site; another site is not lost
//	up          ActionLose                        another site is not lost                 lost, paused
//	lost        its routers report, its servers   for Plan.RecoverAfter, doubled by each   recovering, step 0
//	            are listed and respond            repeated loss; not paused
//	lost        ActionRecover                     none                                     recovering, step 0
//	recovering  Plan.MinStepDuration has passed   servers respond; failures have not       next step;
//	            since the last step               risen; origin is fast; not paused        up after the last
//	recovering  a quorum of other sites finds     for half of Plan.LostAfter; another      lost, one more
//	            half of its servers silent        site is not lost                         repeated loss
//	recovering  ActionLose                        another site is not lost                 lost, paused
//	recovering  ActionRecover                     none                                     recovering, step 0
//	lost or     ActionPause, ActionResume         none                                     same state, paused
//	recovering                                                                             or not paused
//
// A loss within a minute of a recovery counts as a repeated loss.
//
// A site that is up but partly unavailable is shown as degraded. That is not a state: it only affects the site's capacity.
//
//   - plan.go: the operators' plan
//   - decision.go, command.go: states, transitions, operator commands
//   - report.go, orders.go: messages between routers and the leader
//   - coordinator.go: the leader's evaluation
//   - evidence.go, sitestate.go: evidence, and the transitions that it justifies
//   - weights.go: distribution of the keys of a lost site
//   - shedding.go: admission and load shedding while a site is degraded
//   - forecast.go: forecast of the load that a loss would shed
//   - status.go: the state shown to operators
package sitefailover
