// Package scatter makes the decisions of one coordinator: how queries are scattered over the replicas that hold their
// shards, and how the parts' answers are gathered into one final answer in time.
//
// # Contract
//
// A Machine is a deterministic state machine without I/O, clock or goroutine of its own. Its caller passes typed
// events (queries, outcomes of attempts, endpoint updates) and the present time to Step, and carries out the returned
// actions in order. The same seed, settings and events give the same actions. A Machine is not safe for concurrent
// use. The time passed to Step never decreases.
//
// A Machine ends every query with exactly one Answer, Reject or Fail, provided that its caller calls Step no later
// than the last SetTimer asked for, and unless the caller cancels the query with QueryCancelled. A class with a second
// round gets two answers; only cmd/adapter has such classes, and core refuses them.
//
// # Terms
//
// A query has parts, one for each shard that it needs. A Machine sends each part to a replica as an attempt. It may
// retry a part whose attempt failed, and send a hedged request beside an overdue one. The replicas of a shard are its
// holders. A Machine ejects a holder that shows a fault, probes it with single parts, and reinstates it. A replica
// whose process has just started is in slow start: it is sent only as many parts as its present capacity allows.
//
// # Where each decision is made
//
//	settings.go            the settings of a coordinator
//	events.go, actions.go  the input and output of Step
//	machine.go             Step and the timer
//	query.go, replica.go   the state of open queries, their parts and attempts, and of replicas
//	arrivals.go            opens queries, adds their parts and releases deferred parts
//	admission.go           which queries are admitted, and which parts are left out under load
//	prediction.go          how long a part and a query are expected to take
//	completeness.go        which parts are selected, and when a query is answered or given up
//	attempts.go            sends, retries and cancels attempts
//	retry_budget.go        how many retries may start
//	picker.go              which replica an attempt is sent to
//	shares.go              the routing shares by which the picker draws
//	traffic.go             how much traffic this coordinator has for one replica
//	slow_start.go          what a replica that has just started may be sent
//	hedging.go             what is done about an overdue part
//	latency.go             latencies of classes and replicas, and when a part is late
//	outcomes.go            how an attempt's outcome changes the state of its replica
//	outlier_detection.go   which replicas are unresponsive or far slower than their siblings
//	ejection.go            ejection, class faults, reinstatement
//	probes.go              which ejected replica is probed
//	idle_connections.go    how long an unused connection is trusted
//	endpoints.go           the endpoint list, its subscription, and removed replicas
//	placement.go           this coordinator's subset of the replicas, by its ordinal in the fleet
//	ring.go                which replicas hold a shard
//	reconfigure.go         what is kept when the settings change
//	checkpoint.go          what is passed on to the Machine of a new process
//
// # Why a replica gets no traffic
//
// A replica gets no parts, or fewer than others, for one of these reasons:
//
//   - It is not listed as Ready. core also reports a replica as Draining while it is in maintenance, or while the
//     lease of its endpoint list has expired.
//   - It is not in this coordinator's subset (placement.go).
//   - It is ejected and gets probes only (ejection.go, probes.go).
//   - It has just rejected parts, or is avoided after that in a large fleet (outcomes.go, ejection.go).
//   - The part's class is excluded there, or the part may not run twice and other holders are preferred after an error
//     or an unanswered attempt there (picker.go).
//   - It is in slow start (slow_start.go).
//   - Other holders have fewer outstanding calls (picker.go).
//
// docs/design.md explains the origin of each rule.
package scatter
