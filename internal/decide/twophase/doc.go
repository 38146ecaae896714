// Package twophase plans how the parts of a query are sent to their shards in two phases. A cheap first phase finds out
// whether a shard can contribute anything new; only shards that may do so then get the full query.
//
// # Contract
//
// A Planner has no I/O, clock, goroutine or randomness of its own, and is not safe for concurrent use. Instants are
// readings of any monotonic clock. The caller calls Plan once for each query when it arrives. It then calls FullSent
// for each full query sent, ObserveLatency for each served part, ObserveFirstPhase for each first-phase answer, and
// ObserveFullWithVersion for each answer to a full query that requested the shard's version. Answers to full queries
// without the version must not be passed to ObserveFullWithVersion: an answer without versions stops caching for its
// shard. Full queries whose Request is not Cacheable must not request the version, so that no value of theirs is cached.
// Values that a Planner returns belong to its cache and must not be modified.
//
// # Terms
//
//   - first phase: a request to one shard for its number of matches and the versions of its documents.
//   - full query: the request to one shard for its part of the query's answer. It is deferred while the first phase
//     runs. It is not sent if the first-phase answer proves that the shard has no match or that a cached value is
//     still valid.
//   - topic: an index and a class. Costs are learned for each topic separately.
//
// # Where each decision is made
//
//	planner.go         which shards are queried in two phases
//	topic.go           what a first phase costs, how long full queries are deferred, and how much exploration may cost
//	verdict.go         what a first-phase answer proves
//	shard_state.go     a shard's newest version, and how often its first phase saves the full query
//	version.go         how two versions of a shard relate
//	cache.go           which values are cached
//	latency_window.go  recent latencies
//
// docs/design/two-phase.md gives the reason for each rule.
package twophase
