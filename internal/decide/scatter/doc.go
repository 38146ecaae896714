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
// For every query the caller gets exactly one Answer, Reject or Fail, as long as it feeds Step by the time that the
// last SetTimer asked for, and unless it cancels the query with QueryCancelled. A class with a second round gets two
// answers; only cmd/adapter has such classes, and core refuses them.
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
//	query.go, replica.go   what is known of open queries, their parts and attempts, and of replicas
//	arrivals.go            how queries and parts come in
//	admission.go           which queries are admitted, and which parts of little weight are left out under load
//	prediction.go          how long a part and a query are expected to take
//	completeness.go        which parts are asked for, when a query is answered, and when it is given up
//	attempts.go            what sends, retries and cancels attempts
//	retry_budget.go        how many retries may begin
//	picker.go              which replica an attempt goes to
//	shares.go              the routing shares that the picker draws by
//	traffic.go             how much traffic this coordinator has for one replica
//	slow_start.go          what a replica that has just started may be sent
//	hedging.go             what an overdue part calls for
//	latency.go             what is usual of a class, and when a part is late
//	outcomes.go            what an outcome says of its replica
//	outlier_detection.go   which replicas leave attempts unanswered, or are far slower than others
//	ejection.go            ejection, faults of one class, reinstatement
//	probes.go              which ejected replica gets a probe
//	idle_connections.go    how long an unused connection is trusted
//	endpoints.go           the endpoint list, its subscription, and replicas that are removed
//	placement.go           which replicas this coordinator keeps, by its ordinal in the fleet
//	ring.go                which replicas hold a shard
//	reconfigure.go         what is kept when the settings change
//	checkpoint.go          what is handed on to a new process
//
// # Why a replica gets no traffic
//
// It is not listed as Ready: core also reports a replica as Draining while it is in maintenance, or its list's lease
// has expired; it is not in this coordinator's subset (placement.go); it is ejected, and probed only
// (ejection.go, probes.go); it has rejected parts a moment ago, or is avoided after that in a large fleet
// (outcomes.go, ejection.go); its class is excluded there, or not trusted after an error or a silence (picker.go);
// it is in slow start (slow_start.go); other holders have fewer calls out (picker.go).
//
// docs/design.md says where each rule comes from.
package scatter
