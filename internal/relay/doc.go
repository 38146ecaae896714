// Package relay serves the endpoint list and the settings in versions. These are an authority's own versions, or those
// of other relays. Calls and answers have the form of the discovery service's.
//
// # Contract
//
// A Resource is one list of entries with its version log. An Authority publishes versions in it, from files or from the
// discovery service; in other relays, Resource.Follow applies the versions of the relay's sources. A Server answers the
// readers of two Resources over HTTP: at once if they lack something, otherwise when there is a new version or their
// wait is over. Many readers can watch at the same time; a slice is encoded once for all readers that need it.
//
// An Authority checks what Load reads as a whole before it publishes any part of it. After an error of reading or
// checking, nothing has changed. If the log itself rejects the settings, the endpoint list of the same Load is already
// published.
// A relay serves its source's versions under the same numbers, and never applies an older epoch or index.
//
// Any goroutine may use a Resource, a Server or a SnapshotBudget. An Authority's Load and Run may run concurrently.
//
// # Where each decision is made
//
//	resource.go         how a resource changes, and its staleness
//	read.go             what a reader's call is answered, and when
//	slice_cache.go      encoded slices that all readers share
//	snapshot_budget.go  which readers may begin a snapshot now
//	server.go           the HTTP server, and its limit on readers
//	call.go             how a call is parsed, and how a reply is written
//	status.go           the status of a process, in the status call's answer and in the log
//	authority.go        where an authority's versions come from, and when they are published
//	endpoint_list.go    how an endpoint list's file is read, and when a list is valid
//	settings.go         how the settings' file is read and checked
//	upstream.go         how a relay follows its sources
package relay
