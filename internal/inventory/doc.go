// Package inventory reads the endpoint list from a file that configuration tools maintain: CSV with a header row, or
// YAML in the layout of Ansible inventories.
//
// Load reads a file once. A Reader reads it repeatedly: Look says what the file shows, and its caller applies that once
// the file counts as complete (package stability). The endpoint lists of Apply reflect what has changed since the
// previous one. A fault in the file is an *Error with file and line, and no host of a faulty file is used. Reading a
// file takes a bounded time and bounded memory for any contents. The package starts no goroutine and has no state
// outside of a Reader; a Reader must not be used concurrently.
//
// The columns and variables use the terms of the operators' pages: cell is the ring position, and api is the scheme
// that the endpoint uses.
//
//	host.go        a host, its checks, and the choice of the file format
//	csv.go         CSV files
//	ansible.go     YAML files
//	reader.go      the endpoint list of each reading, given the previous one
//	coverage.go    shards that a reading leaves without a holder
//	difference.go  what differs between two readings
package inventory
