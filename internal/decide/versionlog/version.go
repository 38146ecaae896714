// Package versionlog keeps the latest state of named entries as a compacted log of versions: each entry stands in the
// log once, at the index of its last change. A reader that knows a version gets what has changed since, in slices of a
// bounded size; one whose version is older than the removals that the log still remembers gets a snapshot, in slices of
// the same form. The package does no I/O and reads no clock.
package versionlog

// Version names a state of the log. A higher epoch is a later authority: its indexes start anew and say nothing about
// those of earlier epochs.
type Version struct {
	Epoch int64
	Index int64
}

// Before tells whether v is older than w.
func (v Version) Before(w Version) bool {
	if v.Epoch != w.Epoch {
		return v.Epoch < w.Epoch
	}
	return v.Index < w.Index
}

// Entry is the latest state of one name.
type Entry struct {
	Name    string
	Index   int64  // of the change that brought it to this state
	Removed bool   // a tombstone: the name exists no more
	Body    []byte // the entry's JSON object as it stands in answers, its version included
}

// Cursor is where a reader stands.
type Cursor struct {
	Version
	// Base is the log's head when the reader's snapshot began. It is zero for a reader that is not inside a snapshot.
	Base int64
	// Head is the newest index of this epoch that the reader was told of. A reader below it lacks changes.
	Head int64
}

// After is the cursor once the slice is taken.
func (c Cursor) After(s Slice) Cursor {
	next := Cursor{Version: s.Version, Base: s.Base, Head: s.Head}
	if c.Epoch == s.Version.Epoch {
		next.Head = max(next.Head, c.Head)
	}
	return next
}

// Complete tells whether the reader has all that it was told of.
func (c Cursor) Complete() bool { return c.Base == 0 && c.Index > 0 && c.Index >= c.Head }

// Slice is one answer: entries in the order of their indexes, which all are over the cursor's.
type Slice struct {
	Version  Version // what the reader has once it has taken the slice
	Head     int64   // the newest index that the log knows of: a reader below it lacks changes
	Snapshot bool    // the first slice of a snapshot: what the reader had before does not count
	Base     int64   // in the slices of a snapshot but the last: to be given back with the next call
	Entries  []Entry
}

// SourceVersion returns the newest version that the slice shows its source to have.
func (s Slice) SourceVersion() Version {
	return Version{Epoch: s.Version.Epoch, Index: max(s.Version.Index, s.Base)}
}

// More tells whether further slices follow at once.
func (s Slice) More() bool { return s.Version.Index < s.Head }
