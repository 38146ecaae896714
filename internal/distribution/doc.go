// Package distribution keeps a local copy of a resource that relays serve in versions: the endpoint list or the
// settings.
//
// # Contract
//
// A Follower keeps a local copy of one resource. It follows one of several sources at a time and polls it over one
// connection. Each call is a watch: the source answers it once it has a newer version, or when the heartbeat is over.
// The Follower checks each answer as a whole before it applies any part of it. Run's goroutine passes the changes to
// Config.Apply, one update at a time. An older epoch or index is never applied, whichever source sends it, unless
// Config.AcceptAnySnapshot is set.
//
// The Follower leaves a source that fails, is silent, is behind the local copy, or sends an invalid answer, and goes to
// the next one. It probes a nearer source, or a fresher one while the current source is stale, on a second connection,
// so that a probe does not delay changes. Package failover decides which source to follow next, and when. Package
// decide/follower decides how an answer changes the local copy.
//
// Run returns after its context has ended, once all goroutines that it started have ended. Any goroutine may call
// Status and Counters at any time. Coordinators use a Follower, and so do relays, which follow other relays, and the
// authority, which follows the discovery service.
//
// # Where each decision is made
//
//	config.go         the resource, the sources and the defaults
//	follower.go       the main loop: choose a source, poll it, switch to a better one
//	path.go           the paths of the resources
//	watch.go          how long a source may wait for a new version before it answers
//	poll.go           one call, and how its answer is applied
//	answer.go         how an answer is parsed, and the errors of unusable answers
//	outcome.go        whether the Follower leaves a source, and why
//	probe.go          the probe of a better source beside the current one
//	status.go         what other goroutines can read: version, staleness, totals
//	staleness_log.go  the log lines about a stale local copy
package distribution
