// Package core runs the decision module (package scatter) for fronts that take queries from clients and for callers
// that reach replicas. It knows no wire.
//
// # Contract
//
// A Coordinator has one goroutine, the one that runs Run. It alone owns the module, the open queries with their
// attempts, the endpoint list and the timers. Every other goroutine reaches it through a bounded queue of messages;
// the exported methods say which of them wait for space in it. Callers and an Admitter are called by that goroutine
// too, so none of their methods may block or call the Coordinator back from within.
//
// Work is done in ticks. A tick takes in the messages that have arrived, runs the timers that are due, and lets the
// module decide; what the module asks for is carried out in its order. All of a tick happens at one instant.
//
// A query that Submit accepts gets exactly one Answer, by its deadline plus answerGrace at the latest, unless its
// client leaves, or the coordinator's last tick is over before it was applied (see Stop). An attempt that a Caller was
// given ends in exactly one outcome that the module hears; any later one is dropped. No second attempt of a part is
// sent before the first has ended, unless the module hedges.
//
// # Where each rule stands
//
//	coordinator.go       the Coordinator, what it is made of, and which part owns which state
//	config.go            what a Coordinator is configured with, and its clock
//	tick.go              the queue of messages, the goroutine and its ticks
//	tick_load.go         how late and how long ticks are, for the Admitter
//	timers.go            what is to happen at an instant
//	actions.go           what the module asks for, carried out
//	query.go             what fronts hand over and get back
//	client.go            whether the client of a query has left
//	validate.go          which queries are invalid
//	submit.go            how a query is accepted or refused
//	open_queries.go      what is open, what it takes, and its limit
//	reserved_ids.go      for how long a client's id of a query is taken
//	answer.go            how a query ends
//	attempt.go           attempts, from the sending to the outcome
//	permit.go            what may still keep an attempt from beginning
//	first_phase.go       queries of two phases
//	endpoints.go         the endpoint table
//	ring_index.go        which endpoints hold a shard
//	endpoint_updates.go  how the sources' lists are merged
//	pending_updates.go   how a long list is taken in over several ticks
//	effective_list.go    the endpoint list as the module is to hear it
//	list_readiness.go    from when on the endpoint list counts as known
//	list_lease.go        for how long an unconfirmed list is used
//	maintenance.go       replicas that operators have taken out
//	admitter.go          the check before a query is queued
//	memory_relief.go     what is given up when memory runs short
//	settings.go          the settings in force
//	phase.go             the way from start to exit
//	checkpoint.go        what was learned, handed on to another process
//	counters.go          what is counted
//	query_log.go         what is logged of single queries
//
// # What is logged, at which level
//
// At debug level: each endpoint update, attempt outcome, withheld attempt, client that left, and query's end. At info
// level: queries that failed or were answered past their latency objective, as logLimit allows, and the confirming of
// an endpoint list that had expired. At warn level: the expiry of the endpoint list, and shards of which maintenance
// has taken out all replicas. Queries that are rejected before they are opened are only counted: under overload there
// would be too many lines.
package core
