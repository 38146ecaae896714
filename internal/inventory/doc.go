// Package inventory reads the endpoint list from a file that configuration tools maintain: CSV with a header row, or
// YAML in the layout of Ansible inventories.
//
// Load reads a file once. A Reader reads it repeatedly, and its endpoint lists reflect what has changed since the
// previous reading. A fault in the file is an *Error with file and line, and no host of a faulty file is used. The
// package starts no goroutine and has no state outside of a Reader; a Reader must not be used concurrently.
//
// The columns and variables use the terms of the operators' pages: cell is the ring position, and api is the scheme
// that the endpoint uses.
//
//	host.go     a host, its checks, and the choice of the file format
//	csv.go      CSV files
//	ansible.go  YAML files
//	reader.go   the endpoint list of each reading, given the previous one
package inventory
