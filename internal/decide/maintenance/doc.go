// Package maintenance decides how replicas that operators take out for maintenance appear to the scatter machine. It
// adjusts the replicas that discovery lists before the machine gets them, so that maintenance stays in force regardless
// of what discovery lists.
//
// # Contract
//
// A Register has no I/O, clock, goroutine or lock of its own. It is not safe for concurrent use: clone a Register to
// share it. Times are wall-clock times since the Unix epoch because they are compared between processes and stored in
// files. Each process of a coordinator has a Register and merges the Registers of the other processes into it, in any
// order and any number of times. All processes then have equal entries, except for calls back that some have pruned.
//
// # Terms
//
//   - call: an operator's order to take a replica out, or to call it back.
//   - out: taken out for maintenance. The replica appears to the scatter machine as draining.
//   - call back: the order that ends the maintenance. The replica then counts as restarted.
//
// # Where each decision is made
//
//	entry.go     the last call for a replica, and which of two calls takes precedence
//	register.go  how calls are applied, merged and pruned, and how a listed replica appears to the machine
//	coverage.go  which shards have no ready holder left
package maintenance
