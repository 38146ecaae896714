// Package distribution follows a resource that relays give out in versions: the endpoint list or the settings.
//
// # Contract
//
// A Follower keeps a local copy of one resource. It follows one of several sources at a time over one connection, and
// polls it: each call is a watch that the source answers once it has a newer version, or when the heartbeat is over.
// Every answer is checked as a whole before anything of it counts. What it changes goes to Config.Apply, one update
// after the other, from Run's goroutine. An older epoch or index is never applied, whichever source gives it.
//
// A source that fails, is silent, is behind the local copy, or gives an invalid answer is left for the next one. A
// nearer source, or a fresher one while the current one is stale, is probed on a second connection, so that changes do
// not wait for it. Which source comes next, and when, is decided by package failover; what an answer makes of the local
// copy by package decide/follower.
//
// Run returns once its context has ended and all that it started has ended too. Status and Counters are for any
// goroutine at any time. Coordinators use a Follower, and so do relays that have other relays upstream.
//
// # Where each decision stands
//
//	config.go         what is followed, and the defaults
//	follower.go       the loop: choose a source, poll it, change to a better one
//	path.go           what is polled: the paths of the resources
//	watch.go          how long a source may wait for a new version before it answers
//	poll.go           one call, and how its answer is applied
//	answer.go         how an answer is read, and the errors of unusable ones
//	outcome.go        whether a source is left, and why
//	probe.go          the poll of a better source beside the current one
//	status.go         what other goroutines see: version, staleness, totals
//	staleness_log.go  the log lines about a stale local copy
package distribution
