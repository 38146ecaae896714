// Package relay gives out the endpoint list and the settings in versions, by the calls and in the form of the discovery
// service: an authority's own versions, or those of other relays.
//
// # Contract
//
// A Resource is one list of entries with its version log. An Authority publishes versions in it, from files or from the
// discovery service; elsewhere Resource.Follow applies what other relays give out. A Server answers the readers of two
// Resources over HTTP: at once where they lack something, else when there is a new version or their wait is over. Many
// readers watch at a time; a slice is encoded once for all that ask for it.
//
// What an Authority reads is checked as a whole before any of it is published. After an error of reading or checking
// everything is as it was; where the log itself rejects the settings, the endpoint list of the same Load is published
// already.
// A relay's versions are its source's: an older epoch or index is never applied.
//
// Resource, Server and SnapshotBudget are for any goroutine. An Authority's Load and Run may run in two
// goroutines at once.
//
// # Where each decision stands
//
//	resource.go         what changes a resource, and its staleness
//	read.go             what a reader is answered, and when
//	slice_cache.go      slices that are encoded once for all readers
//	snapshot_budget.go  which readers may begin a snapshot now
//	server.go           the HTTP server, and its limit on readers
//	call.go             how a call is read, and how a reply is written
//	status.go           what the status call and the log say of a process
//	authority.go        where an authority's versions come from, and when they are published
//	endpoint_list.go    what an endpoint list has to be, and how a file of one is read
//	settings.go         what the settings have to be, and how their file is read
//	upstream.go         how a relay follows its sources
package relay
