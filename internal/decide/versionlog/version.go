package versionlog

// Version names a state of a log. Indexes of one epoch say nothing about those of another.
type Version struct {
	Epoch int64
	Index int64
}

// HasEpoch reports whether the version is of an epoch. Versions of services that count without epochs are not, nor is
// that of a relay's log which has taken no snapshot yet: their epoch is 0.
func (v Version) HasEpoch() bool { return v.Epoch != 0 }

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
	// Base is the index of the log's version when the reader's snapshot began; 0 for a reader that is not within a
	// snapshot.
	Base int64
	// NewestIndex is the newest index of the epoch that the reader knows of. A reader below it lacks changes.
	NewestIndex int64
}

// After returns the cursor of a reader that has applied a slice.
func (c Cursor) After(s Slice) Cursor {
	next := Cursor{Version: s.Version, Base: s.Base, NewestIndex: s.NewestIndex}
	if c.Epoch == s.Version.Epoch {
		next.NewestIndex = max(next.NewestIndex, c.NewestIndex)
	}
	return next
}

// Complete reports whether the reader has all that it knows of.
func (c Cursor) Complete() bool { return c.Base == 0 && c.Index > 0 && c.Index >= c.NewestIndex }

// Slice is one answer to a reader.
type Slice struct {
	// Version is what the reader has once it has applied the slice.
	Version Version
	// NewestIndex is the newest index of the epoch that the log knows of.
	NewestIndex int64
	// Snapshot states that the slice is the first one of a snapshot. What the reader had before no longer counts.
	Snapshot bool
	// Base is the index of the log's version when the snapshot began, in the slices of a snapshot but the last; else 0.
	// The reader gives it back with its next call.
	Base int64
	// Entries are in the order of their indexes, which all are above the reader's.
	Entries []Entry
}

// SourceVersion returns the newest version that the slice shows its source to have.
func (s Slice) SourceVersion() Version {
	return Version{Epoch: s.Version.Epoch, Index: max(s.Version.Index, s.Base)}
}

// More reports whether the reader lacks changes after the slice, so that its next call is answered at once.
func (s Slice) More() bool { return s.Version.Index < s.NewestIndex }
