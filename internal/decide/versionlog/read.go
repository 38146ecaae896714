package versionlog

// newestKnown is the newest index of the epoch that the log knows of.
func (l *Log) newestKnown() int64 { return max(l.version.Index, l.announcedIndex) }

// Behind reports whether a reader knows of versions that this log neither has nor is about to receive: its source has
// not announced them.
//
// It is the source's side of a rule that a reader checks too (package follower). A log knows nothing but the reader's
// cursor, and may answer a reader whose newest index it lacks as long as that is announced. The reader compares with
// the newest version that any of its sources has shown to have.
func (l *Log) Behind(from Cursor) bool {
	return l.version.Before(Version{from.Epoch, max(from.Index, from.Base)}) ||
		from.Epoch == l.version.Epoch && l.newestKnown() < from.NewestIndex
}

// NeedsSnapshot reports whether the reader gets a snapshot from its beginning: it is of another epoch, has nothing, or
// may lack tombstones that are forgotten.
func (l *Log) NeedsSnapshot(from Cursor) bool {
	switch {
	case from.Epoch != l.version.Epoch:
		return true
	case from.Base > 0:
		return from.Base < l.removals.horizon
	}
	return from.Index <= 0 || from.Index < l.removals.horizon
}

// Read returns the reader's next slice. Its bodies and the commas between them have at most maxBytes together, but it
// has one entry at least where there is one. Tombstones from before a snapshot began are left out of it. Read takes
// time proportional to the slice, to the logarithm of the log, and in a snapshot to the tombstones that it leaves out.
// The log must be neither Empty nor Behind the reader.
func (l *Log) Read(from Cursor, maxBytes int) Slice {
	slice := Slice{Version: l.version, NewestIndex: l.newestKnown(), Snapshot: l.NeedsSnapshot(from)}
	after, base := from.Index, from.Base
	if slice.Snapshot {
		after, base = 0, l.version.Index
	}
	size := 0
	l.byIndex.AscendGreaterOrEqual(Entry{Index: after + 1}, func(entry Entry) bool {
		if entry.Removed && entry.Index <= base {
			return true
		}
		size += len(entry.Body) + 1
		if size > maxBytes && len(slice.Entries) > 0 {
			slice.Version.Index = slice.Entries[len(slice.Entries)-1].Index
			slice.Base = base
			return false
		}
		slice.Entries = append(slice.Entries, entry)
		return true
	})
	return slice
}
