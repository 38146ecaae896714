// Package fake provides stand-ins for outside systems, for tests and the laboratory. Each fake is written from the
// public description of the system that it replaces and shares no code with the program.
//
// # Contents
//
// Replicas serve parts, either in the platform's frames (ServeFrames) or through the search and index APIs of
// OpenSearch (ServeAPI). A Script decides how each part is answered; Data holds the documents that searches find.
// Machine models the cores, the queue and the slow start of a replica, on any clock. ServeDiscovery gives every caller
// the same endpoint list; Registry has an endpoint list that changes, and modes in which it fails. Network provides
// in-memory connections.
//
// # Contract
//
// Every function that takes a listener returns once the listener is closed; open connections continue until either side
// ends them. The exported methods of Replicas, Data, Registry and Network are safe for concurrent use; fields must be
// set before serving begins. A Machine is not safe for concurrent use.
package fake
