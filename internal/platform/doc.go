// Package platform implements the platform's protocol with clients, replicas and discovery.
//
// # Parts
//
//	front.go          clients: converts a request to a core.Query, and its answer to a reply
//	caller.go         replicas: choice of the connection for a call, cancellation, limits
//	replica_conn.go   one connection to a replica: its outstanding attempts, when it is closed
//	replica_writer.go its writer: connects, writes calls and cancellations, ends the attempts that remain
//	replica_reader.go its reader: answers, time-outs, malformed frames
//	frame.go          the format of frames
//	discovery.go      discovery: when a subscription begins, and what its failure means
//	subscription.go   the calls of one subscription
//	poll_failure.go   what a failed call proves about discovery
//	list_lease.go     for how long the list may be used after an answer, a failure or a start
//	list_record.go    what a process knows of the list, for the coordinator's other processes
//	adopted_list.go   changes of the list and confirmations that come from other processes
//	discovery_log.go  counters and log lines of discovery
//	relayed_list.go   the endpoint list from relays, in place of discovery
//	list.go           the format of the endpoint list, and a copy of it for a process that takes over
//
// # Goroutines
//
// Each connection to a replica has a writer, which Caller starts, and a reader, which the writer starts and waits for.
// Both end when the connection is closed, at the latest by Caller.Close, which does not wait for them. The Caller's
// lock guards all their state and is never held while blocking. Discovery.Run runs on one goroutine, which its caller
// starts, and ends with its context. Each subscription has a second goroutine, which waits for a new address, and which
// Run waits for. Run starts another one that serves Adopt, so that what other processes know takes effect while a call
// to discovery is under way; Discovery's lock guards the list's version and lease. Front.Handle runs on the goroutines
// of http1.Server.
//
// # Terms
//
// front.go, frame.go and list.go map the protocol's terms (slice, mass, entire, group, since) to those of
// docs/GLOSSARY.md.
package platform
