// Package core runs the decision module (package scatter) between fronts, which take queries from clients, and callers,
// which send attempts to replicas. It is independent of any wire format.
//
// # Contract
//
// A Coordinator has one goroutine, the one that runs Run. It alone owns the module, the open queries with their
// attempts, the endpoint list and the timers. Every other goroutine reaches it through a bounded queue of messages;
// the exported methods say which of them wait for space in it. Callers and an Admitter are called by that goroutine
// too, so none of their methods may block or call back into the Coordinator.
//
// Work is done in ticks. A tick applies the messages that have arrived, runs the timers that are due, and steps the
// module, whose actions are performed in order. All of a tick happens at one instant of the coordinator's clock.
//
// A query that Submit accepts gets exactly one Answer, by its deadline plus answerGrace at the latest, unless its
// client leaves, or the coordinator's last tick ends before the query was applied (see Stop). An attempt that a Caller
// was given ends in exactly one outcome that the module is notified of; any later one is dropped. No second attempt of
// a part is sent before the first has ended, unless the module hedges.
//
// # Files
//
//	coordinator.go       the Coordinator, its state, and which part owns which state
//	config.go            configuration of a Coordinator, and its clock
//	tick.go              the queue of messages, the goroutine and its ticks
//	tick_load.go         delay and duration of ticks, for the Admitter
//	timers.go            timers of the coordinator's goroutine
//	actions.go           performs the module's actions
//	query.go             queries and answers as exchanged with fronts
//	client.go            whether the client of a query has left
//	validate.go          which queries are invalid
//	submit.go            how a query is accepted or refused
//	open_queries.go      open queries, their estimated memory, and the open limit
//	reserved_ids.go      how long a client's query id is reserved
//	answer.go            how a query ends
//	attempt.go           attempts, from sending to the outcome
//	permit.go            conditions that may keep an attempt from beginning
//	first_phase.go       queries of two phases
//	endpoints.go         the endpoint table
//	ring_index.go        which endpoints hold a shard
//	endpoint_updates.go  how the sources' lists are merged
//	pending_updates.go   how a long list is merged over several ticks
//	effective_list.go    the endpoint list as the module sees it
//	list_readiness.go    when the endpoint list counts as known
//	list_lease.go        how long an unconfirmed list is used
//	maintenance.go       replicas that operators have taken out
//	admitter.go          the admission check before a query is queued
//	memory_relief.go     what is dropped when memory runs short
//	settings.go          the settings in force
//	phase.go             the phases from start to exit
//	checkpoint.go        what the module has learned, for another process
//	counters.go          counters of queries and attempts
//	query_log.go         log lines about single queries
//
// # What is logged, at which level
//
// At debug level: each endpoint update, attempt outcome, withheld attempt, client that left, and end of a query. At
// info level: queries that failed or were answered after their latency objective, as logLimit allows, and the
// confirmation of an endpoint list that had expired. At warn level: the expiry of the endpoint list, and changes of the
// shards whose replicas were all taken out by maintenance. Queries that are rejected before they are opened are only
// counted: under overload there would be too many lines.
package core
