// Package twophase decides how the parts of a query over many shards are asked in two phases: first, cheaply, whether a
// shard can add anything new, and then in full only those that may.
//
// # Contract
//
// A Planner has no I/O, clock, goroutine or randomness of its own, and is for one goroutine at a time. Instants are
// readings of any clock that never goes back. Its caller asks Plan once for each query at its arrival, and reports
// what follows: FullSent when a full question goes out, ObserveLatency for each served part, ObserveFirstPhase for
// each first answer, and ObserveFullWithVersion for full answers that were asked for with their version. Plain full
// answers must not be reported to the latter: an answer without versions ends caching at its shard. Values that a
// Planner returns belong to its cache and must not be changed.
//
// # Terms
//
// A part's first phase asks a shard for its number of matches and the versions of its documents; the full question,
// which waits for it, is deferred. Where the first answer proves that the shard has no match, or that a cached value
// still stands, the full question is not sent. A topic is an index and class: costs are learned for each.
//
// # Where each decision stands
//
//	planner.go         which shards are asked in two phases
//	topic.go           what a first phase costs, how long full questions are deferred, and how much is spent on trials
//	verdict.go         what a first answer proves
//	shard_state.go     what is known of a shard: its newest version, and how often a first phase saves anything
//	version.go         how two versions of a shard relate
//	cache.go           which values are cached
//	latency_window.go  recent latencies
//
// docs/design/two-phase.md says why each rule is as it is.
package twophase
