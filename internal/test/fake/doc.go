// Package fake has what tests and the laboratory use in place of outside systems. Its fakes are written from the public
// descriptions of what they replace and share no code with the program.
//
// # What there is
//
// Replicas serve parts, as the platform's frames (ServeFrames) or by the search and index APIs of OpenSearch
// (ServeAPI). A Script decides what becomes of each part; Data is the documents that searches find. A Machine is the
// cores, the queue and the slow start that parts are worked on with, on any clock. ServeDiscovery gives every caller
// the same endpoint list; a Registry has a list that changes, and modes in which it fails. A Network is connections in
// memory.
//
// # Contract
//
// Every function that takes a listener returns once the listener is closed; connections that stand go on until either
// side ends them. The exported methods of Replicas, Data, Registry and Network may be called by any goroutine; fields
// are set before serving begins. A Machine is for one goroutine at a time.
package fake
