package versionlog

// Version names a state of a log. Indexes of one epoch say nothing about those of another.
type Version struct {
	Epoch int64
	Index int64
}

// Before reports whether v is older than w.
func (v Version) Before(w Version) bool {
	if v.Epoch != w.Epoch {
		return v.Epoch < w.Epoch
	}
	return v.Index < w.Index
}

// Entry is the latest state of one name.
type Entry struct {
	Name    string
	Index   int64  // index of the change that brought the entry to this state
	Removed bool   // the entry is a tombstone
	Body    []byte // the entry's JSON object as it stands in answers, with its index
}

// Cursor is where a reader stands.
type Cursor struct {
	// Version is what the reader has.
	Version
	// Base is the log's head when the reader's snapshot began; 0 for a reader that is not within a snapshot.
	Base int64
	// Head is the newest index of the epoch that the reader knows of. A reader below it lacks changes.
	Head int64
}

// After returns the cursor of a reader that has applied a slice.
func (c Cursor) After(s Slice) Cursor {
	next := Cursor{Version: s.Version, Base: s.Base, Head: s.Head}
	if c.Epoch == s.Version.Epoch {
		next.Head = max(next.Head, c.Head)
	}
	return next
}

// Complete reports whether the reader has all that it knows of.
func (c Cursor) Complete() bool { return c.Base == 0 && c.Index > 0 && c.Index >= c.Head }

// Slice is one answer to a reader.
type Slice struct {
	// Version is what the reader has once it has applied the slice.
	Version Version
	// Head is the newest index of the epoch that the log knows of.
	Head int64
	// Snapshot states that the slice is the first one of a snapshot. What the reader had before no longer counts.
	Snapshot bool
	// Base is the log's head when the snapshot began, in the slices of a snapshot but the last; else 0. The reader
	// gives it back with its next call.
	Base int64
	// Entries are in the order of their indexes, which all are above the reader's.
	Entries []Entry
}

// SourceVersion returns the newest version that the slice shows its source to have.
func (s Slice) SourceVersion() Version {
	return Version{Epoch: s.Version.Epoch, Index: max(s.Version.Index, s.Base)}
}

// More reports whether the reader lacks changes after the slice, so that its next call is answered at once.
func (s Slice) More() bool { return s.Version.Index < s.Head }
