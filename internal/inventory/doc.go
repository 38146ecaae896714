// Package inventory reads the endpoint list from a file as configuration tools keep it: CSV with a header row, or
// YAML in the layout of Ansible's inventories.
//
// Load reads a file once. A Reader reads it again and again, and says what has changed between two readings. Faults in
// the file are *Error, with the place; nothing of a faulty file is taken. There is no state outside of a Reader, and no
// goroutine; a Reader is for one goroutine at a time.
//
// The columns and variables keep the words of the operators' pages: cell is the ring position, api the scheme that the
// endpoint speaks.
//
//	host.go     a host, its checks, and the choice of the format
//	csv.go      CSV files
//	ansible.go  YAML files
//	reader.go   what a reading changes of the one before
package inventory
