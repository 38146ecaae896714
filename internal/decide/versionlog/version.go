package versionlog

// Version identifies a state of a log. Indexes of different epochs cannot be compared.
type Version struct {
	Epoch int64
	Index int64
}

// HasEpoch reports whether the version has an epoch. The epoch is 0 in versions of services without epochs, and in the
// version of a relay's log before its first snapshot.
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
	Index   int64  // index of the change that set this state
	Removed bool   // the entry is a tombstone
	Body    []byte // the entry's JSON object as sent in answers, with its index
}

// Cursor is a reader's position in a log.
type Cursor struct {
	// Version is the version that the reader has.
	Version
	// Base is the index of the log's version when the reader's snapshot began; 0 if the reader is not within a
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

// Complete reports whether the reader has all changes that it knows of.
func (c Cursor) Complete() bool { return c.Base == 0 && c.Index > 0 && c.Index >= c.NewestIndex }

// Slice is one answer to a reader.
type Slice struct {
	// Version is the version that the reader has after it has applied the slice.
	Version Version
	// NewestIndex is the newest index of the epoch that the log knows of.
	NewestIndex int64
	// Snapshot reports whether the slice is the first one of a snapshot, which replaces what the reader had before.
	Snapshot bool
	// Base is the index of the log's version when the snapshot began, in all slices of a snapshot except the last; 0 in
	// other slices. The reader sends it back with its next call.
	Base int64
	// Entries are in the order of their indexes, which are all above the reader's index.
	Entries []Entry
}

// SourceVersion returns the newest version that the slice shows its source to have.
func (s Slice) SourceVersion() Version {
	return Version{Epoch: s.Version.Epoch, Index: max(s.Version.Index, s.Base)}
}

// More reports whether the reader still lacks changes after it has applied the slice. Its next call is then answered at
// once.
func (s Slice) More() bool { return s.Version.Index < s.NewestIndex }
