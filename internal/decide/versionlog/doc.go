// Package versionlog keeps the latest state of named entries as a compacted log of versions: the log has one entry for
// each name, at the index of the name's last change. Readers follow a log by cursors. A reader that has a version gets
// the entries that have changed since. A reader whose version is older than the removals that the log remembers gets a
// snapshot. Both come in slices of bounded size.
//
// # Contract
//
// A Log has one of two roles. The log of an authority numbers the changes passed to Publish and Replace. The log of a
// relay is a copy of its source's log: it applies slices by Apply, and only it uses Cursor and AbortSnapshot. Both
// answer readers by Read, whose result depends on Behind and NeedsSnapshot. A log never goes back: readers never see
// its epoch, or an index within the epoch, decrease.
//
// A Log has no clock and does no I/O. It is for one goroutine at a time.
//
// # Terms
//
//   - epoch: the period of one authority. A later authority has a higher epoch and starts its indexes again at 1.
//   - index: the number of a change within its epoch, from 1.
//   - version: an epoch and an index in it. A log's version is that of its last change.
//   - newest index: the highest index of an epoch that a log or a reader knows of, whether or not it has the change;
//     "head" on the wire.
//   - announced: an index that a relay's source has named as its newest one, before the relay has the changes up to it.
//   - cursor: a reader's position in the log, which the reader sends with each call.
//   - slice: one answer to a reader, with some or all of the entries that the reader lacks.
//   - snapshot: the entries of the whole log, in one or more slices. It replaces what the reader had.
//   - base: the index of the log's version when a snapshot began. All slices of the snapshot except the last carry it.
//   - tombstone: the entry of a removed name. It informs readers of the removal.
//   - live: said of an entry that is not a tombstone.
//   - horizon: the index up to which the log may have forgotten tombstones. A reader below it needs a snapshot.
//
// # Files
//
//	version.go   versions, cursors, entries and slices
//	publish.go   what an authority numbers as a change
//	read.go      what a reader gets: changes, a snapshot, or nothing because the log is behind it
//	apply.go     which slices of its source a relay applies
//	check.go     which slices are valid by themselves
//	log.go       the entries, and how many tombstones the log remembers
//	object.go    how an entry's body is formed, and which objects change it
//	json.go      the form of answers on the wire
package versionlog
