// Package versionlog keeps the latest state of named entries as a compacted log of versions: each name stands in the
// log once, at the index of its last change. Readers follow a log by cursors. A reader that has a version gets the
// entries that have changed since. One whose version is older than the removals that the log remembers gets a snapshot.
// Both come in slices of bounded size.
//
// # Contract
//
// An authority's log numbers the changes that it is given by Publish and Replace. A relay's log is a copy of its
// source's, and takes slices by Apply. Both answer readers by Read. A log never goes back: to its readers, neither its
// epoch nor an index within the epoch ever falls.
//
// A Log has no clock and does no I/O. It is for one goroutine at a time.
//
// # Terms
//
//   - epoch: the reign of one authority. A later authority has a higher epoch and counts its indexes anew.
//   - index: the number of a change within its epoch, from 1.
//   - head: the newest index of an epoch that somebody knows of.
//   - tombstone: the entry of a removed name. It tells readers of the removal.
//   - base: the log's head when a reader's snapshot began, in the slices of that snapshot but the last.
//
// # Where each decision stands
//
//	version.go   versions, cursors, entries and slices
//	publish.go   what an authority numbers as a change
//	read.go      what a reader gets: changes, a snapshot, or nothing because the log is behind it
//	apply.go     what a relay takes of its source
//	check.go     what makes a slice valid by itself
//	log.go       the entries, and how long tombstones are remembered
//	json.go      the form of answers on the wire
package versionlog
