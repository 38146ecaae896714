// Package maintenance decides what the scatter machine hears of replicas that operators have taken out for
// maintenance. It stands between what discovery lists and what the machine hears, so that discovery may list anything
// meanwhile.
//
// # Contract
//
// A Register has no I/O, clock or goroutine of its own, and no lock: it is for one goroutine at a time, and what is
// shared has to be cloned. Times are wall-clock times since the Unix epoch, for they are compared between processes
// and kept in files. The processes of one coordinator each have a Register and merge the others' into it, in any
// order and any number of times. All then have equal entries, but for calls back that some have pruned.
//
// # Terms
//
//   - call: an operator's order to take a replica out, or to call it back.
//   - out: taken out for maintenance. The scatter machine hears that the replica drains.
//   - call back: the order that ends this. The replica then counts as restarted.
//
// # Where each decision stands
//
//	entry.go     the last call for a replica, and which of two calls counts
//	register.go  calls entered, merged and forgotten, and how a listed replica appears to the machine
//	coverage.go  which shards have lost all their holders
package maintenance
