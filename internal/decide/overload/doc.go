// Package overload decides which arriving queries a coordinator rejects to keep its own loop, CPU and memory from being
// overloaded.
//
// # Contract
//
// A Controller has no I/O, clock or goroutine of its own; its random numbers come from Config.Rand. It is not safe for
// concurrent use. Instants are readings of any monotonic clock. The caller calls Admit once for each arriving query,
// QueryDone for the final answer of each admitted query, and Observe with the signals of the process once per Interval.
// The same calls with the same random numbers give the same decisions.
//
// A Controller judges the load of this process only. Package scatter judges the load of the replicas.
//
// # Order of rejection
//
// Queries with the lowest priority weight per cost are rejected first, and traffic beyond a tenant's quota before any
// traffic within it. A protected query belongs to a non-idempotent class and is within its tenant's quota. It is
// rejected last: only when even the tokens of the near future are spent, or when memory is so short that admitted
// queries have to be ended. A different rule selects the admitted queries to end: a query is never ended if a part of
// it that must not run twice may have run (OpenQuery.MayHaveRun).
//
// # Where each decision is made
//
//	controller.go      admission of a query, and the counts of a window
//	rate_limit.go      how much cost is admitted per second, and how many tokens lower scores leave to higher ones
//	throughput.go      how much work the loop can do
//	cost_model.go      what queries, parts and rejections cost
//	priority.go        the order in which classes are rejected
//	quota.go           which traffic is within its tenant's quota
//	retry_after.go     when the client of a rejected query may retry
//	level.go           the level shown in logs
//	memory_level.go    what is done when memory is short, and which queries are ended
//
// docs/design/overload.md compares the controllers that were considered.
package overload
