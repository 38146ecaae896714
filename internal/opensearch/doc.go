// Package opensearch speaks an OpenSearch-style query API on both sides of the coordinator. Front takes clients'
// searches and documents, and makes queries of the core of them. Caller sends the parts of a query to replicas that
// offer the API.
//
// A section of the API is a shard of the core. The word section stands only where the API or the configuration file
// uses it: in paths, bodies, error reasons and keys.
//
// # Requests
//
// A search (GET or POST INDEX/_search) becomes a query with a part for each shard whose section its query and its
// preference can match. Each replica is sent the client's own search, with from 0 and a size that covers the wanted
// page; the front merges the hits and cuts the page.
//
// A document is stored by POST INDEX/_doc, or by PUT or POST of INDEX/_doc/ID or INDEX/_create/ID. The request becomes
// a query of one part, for the shard that the document's section field or the routing parameter names. Error reasons,
// the configuration file and the operators' pages call it a report.
//
// Where an index has a first phase, its searches are sent in two phases: see first_phase.go.
//
// # Answers
//
// Status 200 or 201 is a served query. A search answer is complete if timed_out is false and no shard has failed,
// which it says only if the core does. Status 429 promises that a retry is harmless, and Retry-After tells when.
// Status 500 promises nothing: a document may or may not be stored. Other statuses say what is wrong with the request;
// it was not sent to any replica, unless a replica itself found the fault (see replicaFault).
//
// # Concurrency
//
// Front.Handle and all methods of Caller are for any goroutine. A Config is changed by LoadConfig and Check alone.
// Check also runs at each change of the settings, beside requests that read the Config, and writes the indices' names
// and deadlines without a lock: see there.
package opensearch
