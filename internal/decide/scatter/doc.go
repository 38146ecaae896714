// Package scatter decides, for one coordinator, how queries are scattered over the replicas that hold their shards
// and how the parts' answers are gathered into one final answer in time.
//
// # Contract
//
// A Machine is a deterministic state machine without I/O, clock or goroutine of its own. Its caller feeds Step with
// typed events (what arrived, what ended, what the endpoint list says) and the present time, and carries out the
// returned actions in order. The same seed, settings and events give the same actions. A Machine is for one
// goroutine at a time. Time never goes back from one Step to the next.
//
// For every query the caller gets exactly one Answer, Reject or Fail (two answers for a class with a second round),
// as long as it feeds Step by the time that the last SetTimer asked for.
//
// # Terms
//
// A query has parts, one for each shard that it needs. Each part is sent to a replica as an attempt; a part whose
// attempt failed may be retried, and an overdue one may get a hedged request beside it. The replicas of a shard are
// its holders. A holder that shows a fault is ejected, probed with single parts, and reinstated; one whose process
// has just started is in slow start, and is sent only as much as it can bear.
//
// # Where each decision stands
//
//	settings.go            what a coordinator knows before its first query
//	events.go, actions.go  what goes in and out
//	machine.go             the step itself, and the timer
//	admission.go           which queries are admitted, and which parts of little weight are left out under load
//	completeness.go        which parts are asked for, when a query is answered, and when it is given up
//	attempts.go            what sends, retries and cancels attempts
//	retry_budget.go        how many retries may begin
//	picker.go              which replica an attempt goes to
//	shares.go              the routing shares that the picker draws by
//	slow_start.go          what a replica that has just started may be sent
//	hedging.go             when an overdue part gets a hedged request
//	outliers.go            what an outcome says of its replica
//	unresponsive.go        which replicas leave attempts unanswered, or are far slower than the others
//	ejection.go            ejection, exclusion of a class, reinstatement
//	idle_connections.go    how long an unused connection is trusted
//	probes.go              which ejected replica gets a probe
//	latency.go             what is usual of a class, and when a part is overdue
//	endpoints.go           the endpoint list, its subscription, and replicas that are removed
//	placement.go           which replicas this coordinator keeps, by its ordinal in the fleet
//	ring.go                which replicas hold a shard
//	reconfigure.go         what is kept when the settings change
//	checkpoint.go          what is handed on to a new process
//
// docs/design.md says where each rule comes from.
package scatter
