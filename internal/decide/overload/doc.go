// Package overload decides which arriving queries a coordinator rejects so that its own loop, CPU and memory do not
// fall behind.
//
// # Contract
//
// A Controller has no I/O, clock or goroutine of its own; its random numbers come from Config.Rand. It is for one
// goroutine at a time. Instants are readings of any clock that never goes back. Its caller asks Admit once for each
// arriving query, reports each admitted one's final answer to QueryDone, and hands the signals of the process to
// Observe once an Interval. The same calls with the same random numbers give the same decisions.
//
// It judges this process alone. Whether replicas keep up is for package scatter to judge.
//
// # Order of rejection
//
// Queries with the least priority weight for their cost are rejected first, traffic beyond a tenant's quota before any
// within it. A protected query is one of a non-idempotent class and within its tenant's quota. It is rejected last:
// where even the tokens of the near future are spent, or where admitted queries have to be ended for want of memory.
// Which admitted queries are ended goes by another rule: a query is spared if a part that must not run twice may have
// run (OpenQuery.MayHaveRun).
//
// # Where each decision stands
//
//	controller.go      admission of a query, and the counts of a window
//	rate_limit.go      how much cost is admitted a second, and what lower scores leave to higher ones
//	throughput.go      what the loop can do
//	cost_model.go      what queries, parts and rejections cost
//	priority.go        the order in which classes are rejected
//	quota.go           which traffic lies within its tenant's quota
//	retry_after.go     when a rejected query may come back
//	level.go           the level that logs show
//	memory_level.go    what is done for want of memory, and which queries are ended
//
// docs/design/overload.md compares the controllers that were considered.
package overload
