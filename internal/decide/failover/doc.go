// Package failover decides which of several sources of one resource a reader follows.
//
// A reader prefers sources in its zone, then sources in its region, then all others. Each reader orders the sources at
// the same distance at random, so that the readers are divided among these sources. A reader leaves a source that fails
// for the next one, and follows it again only after a backoff. A reader that follows a farther source returns to a
// nearer one that is healthy again. It does so at a random instant, so that a relay that recovers does not get all its
// readers at once. A reader whose source is stale probes the others and switches to one that is clearly fresher.
//
// # Contract
//
// A Selector is for one reader and one goroutine at a time. It has no clock: now is a reading of the caller's monotonic
// clock and never decreases between calls. All random numbers come from the generator passed to New, in a fixed order
// of draws.
//
// While the reader follows no source, the caller asks FollowNext for one. While it follows a source, the caller reports
// each answer by Succeeded and RecordStaleness, and gives up the source by Leave or Rejected. It also asks Nearer, or
// Fresher if Stale returns true, for another source to probe with a call. It reports a good answer to the probe by
// ProbeSucceeded, which returns whether the reader now follows the probed source, and any other outcome by ProbeFailed.
//
// # Terms
//
//   - source: a relay or the discovery service, from which a reader gets a resource.
//   - staleness: the time since a source's copy was last known to be the authority's newest version.
//   - probe: one call to a source other than the current one, to find out whether that source is better.
//   - distance: whether a source is in the reader's zone, in its region, or elsewhere.
//
// # Files
//
//	selector.go   which source the reader follows next
//	probes.go     when the reader probes a nearer source, and whether it switches to a probed one
//	freshness.go  when a source is stale, and which one is clearly fresher
//	search.go     when the reader probes for a fresher source, and which one it probes
//	reason.go     why a reader leaves a source, and the backoff after each reason
//	candidate.go  what the reader knows about each source
//	locality.go   how far away a source is
package failover
