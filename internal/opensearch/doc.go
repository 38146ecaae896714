// Package opensearch implements an OpenSearch-style query API on both sides of the coordinator. Front accepts searches
// and documents from clients and turns them into queries of the core. Caller sends the parts of a query to replicas
// that offer the API.
//
// A section of the API is a shard of the core. The word section appears only where the API or the configuration file
// uses it: in paths, bodies, error reasons and keys.
//
// # Requests
//
// A search (GET or POST INDEX/_search) becomes a query with one part for each shard whose section the search's query
// and preference can match. Each replica receives the client's own search, with from set to 0 and a size that covers
// the requested page; the front merges the hits and cuts out the page.
//
// A document is stored by POST INDEX/_doc, or by PUT or POST of INDEX/_doc/ID or INDEX/_create/ID. The request becomes
// a query of one part, for the shard that the document's section field or the routing parameter names. Error reasons,
// the configuration file and the operators' pages call a document a report.
//
// Searches of an index with a first phase are sent in two phases: see first_phase.go.
//
// # Answers
//
// Status 200 or 201 means that the query was served. A search answer is complete if timed_out is false and no shard has
// failed; the front marks it so only if the core reports the answer complete. Status 429 promises that a retry is
// harmless, and Retry-After gives the time to wait. Status 500 promises nothing: a document may or may not be stored.
// Other statuses report a fault in the request, which was not sent to any replica, unless a replica itself found the
// fault (see replicaFault).
//
// # Concurrency
//
// Any goroutine may call Front.Handle and all methods of Caller. Only ParseConfig and Check write to a Config, without
// a lock, so Check must finish before the first request reads the Config. When the settings change, CheckedCopy checks
// a copy, and Front.Reconfigure replaces the Config that requests read.
package opensearch
