// Package failover decides which of several sources of one resource a reader follows.
//
// A source in the reader's zone goes before one in its region, and that before any other. Sources at the same distance
// are ordered at random for each reader, so that their readers divide themselves among them. A source that fails is
// left for the next one and is followed again only after a backoff. A reader that follows a farther source returns to a
// nearer one that is healthy again, at a random instant, so that a relay which comes back does not get all its readers
// at once. A reader whose source is stale probes the others and switches to one that is clearly fresher.
//
// # Contract
//
// A Selector is for one reader and one goroutine at a time. It has no clock: now is a reading of the caller's monotonic
// clock and never goes back between calls. Randomness comes from the source that New is given, in a fixed order of
// draws.
//
// The caller asks FollowNext for a source while it follows none, reports each answer by Succeeded and RecordStaleness,
// and gives the source up by Leave or Rejected. While it follows a source it asks Nearer, or Fresher if Stale reports
// so, for another one to probe with a call. It reports a good answer to that by ProbeSucceeded, which says whether the
// reader follows the probed source now, and any other by ProbeFailed.
//
// # Terms
//
//   - source: a relay or the discovery service, from which a reader gets a resource.
//   - staleness: the time since a source's copy was last known to be the authority's newest version.
//   - probe: one call to a source other than the current one, to see whether it is better.
//   - distance: whether a source is in the reader's zone, in its region, or elsewhere.
//
// # Where each decision stands
//
//	selector.go   which source is followed next
//	probes.go     when a nearer source is probed, and whether the reader switches to a probed one
//	freshness.go  when a source is stale, and which one is clearly fresher
//	search.go     when and where a fresher source is looked for
//	reason.go     why a source is left, and the backoff after each reason
//	candidate.go  what is known of each source
//	locality.go   how far away a source is
package failover
