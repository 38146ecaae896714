// Package platform speaks the platform's protocol: to clients, to replicas, and to discovery.
//
// # Parts
//
//	front.go          clients: a request becomes a core.Query, an answer its reply
//	caller.go         replicas: which connection takes a call, cancellation, limits
//	replica_conn.go   one connection to a replica: what is outstanding on it, when it is closed
//	replica_writer.go its writer: connects, writes calls and cancellations, ends what is left
//	replica_reader.go its reader: answers, time-outs, malformed frames
//	frame.go          the frames' form
//	discovery.go      discovery: when a subscription begins, and what its end means
//	subscription.go   the calls of one subscription
//	poll_failure.go   what a failed call shows
//	discovery_log.go  what is counted and logged of discovery
//	relayed_list.go   the endpoint list from relays, in discovery's place
//	list.go           the endpoint list's form, and a copy of it for a process that takes over
//
// # Goroutines
//
// Each connection to a replica has a writer, which Caller starts, and a reader, which the writer starts and waits for;
// both end when the connection is closed, at the latest by Caller.Close, which does not wait for them. All their state
// is guarded by the Caller's lock, under which nothing blocks. Discovery.Run is one goroutine, which its caller starts
// and ends by its context; a subscription has a second one that waits for a new address, and is waited for.
// Front.Handle runs on the goroutines of http1.Server.
//
// # Words
//
// The protocol's words (slice, mass, entire, group, since) are mapped in front.go, frame.go and list.go to those of
// docs/GLOSSARY.md.
package platform
