// Package versionlog keeps the latest state of named entries as a compacted log of versions: each name stands in the
// log once, at the index of its last change. Readers follow a log by cursors. A reader that has a version gets the
// entries that have changed since. One whose version is older than the removals that the log remembers gets a snapshot.
// Both come in slices of bounded size.
//
// # Contract
//
// A Log plays one of two roles. An authority's log numbers the changes that it is given by Publish and Replace. A
// relay's log is a copy of its source's: it takes slices by Apply, and Cursor and AbortSnapshot are for it alone. Both
// answer readers by Read, which Behind and NeedsSnapshot belong to. A log never goes back: to its readers, neither its
// epoch nor an index within the epoch ever falls.
//
// A Log has no clock and does no I/O. It is for one goroutine at a time.
//
// # Terms
//
//   - epoch: the reign of one authority. A later authority has a higher epoch and counts its indexes anew.
//   - index: the number of a change within its epoch, from 1.
//   - version: an epoch and an index in it. A log's version is that of its last change.
//   - newest index: the highest index of an epoch that somebody knows of, whether or not they have it; "head" on the
//     wire.
//   - announced: an index that a relay's source has named as its newest one, before the relay has the changes up to it.
//   - cursor: where a reader stands, as it tells the log with each call.
//   - slice: one answer to a reader, with some or all of the entries that it lacks.
//   - snapshot: the entries of the whole log, in one or more slices. It replaces what the reader had.
//   - base: the index of the log's version when a snapshot began, in the slices of that snapshot but the last.
//   - tombstone: the entry of a removed name. It tells readers of the removal.
//   - live: of an entry, no tombstone.
//   - horizon: the index up to which tombstones may have been forgotten. A reader below it needs a snapshot.
//
// # Where each decision stands
//
//	version.go   versions, cursors, entries and slices
//	publish.go   what an authority numbers as a change
//	read.go      what a reader gets: changes, a snapshot, or nothing because the log is behind it
//	apply.go     what a relay takes of its source
//	check.go     what makes a slice valid by itself
//	log.go       the entries, and how long tombstones are remembered
//	object.go    what an entry's body is, and which object changes it
//	json.go      the form of answers on the wire
package versionlog
