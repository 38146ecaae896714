package versionlog

// newestKnown is the newest index of the epoch that the log knows of.
func (l *Log) newestKnown() int64 { return max(l.version.Index, l.announcedIndex) }

// Behind reports whether this log is behind a reader: the reader has a version that the log lacks, or knows of a newest
// index that the log neither has nor will soon receive, because the log's source has not announced it.
//
// The reader checks a similar rule for each answer (package follower). Behind knows only the reader's cursor, and the
// log may answer a reader whose newest index it lacks if that index is announced. The reader compares an answer with
// the newest version that any of its sources has shown to have.
func (l *Log) Behind(from Cursor) bool {
	return l.version.Before(Version{from.Epoch, max(from.Index, from.Base)}) ||
		from.Epoch == l.version.Epoch && l.newestKnown() < from.NewestIndex
}

// NeedsSnapshot reports whether the reader must get a snapshot from the beginning, because it is in another epoch, has
// nothing, or may lack tombstones that the log has forgotten.
func (l *Log) NeedsSnapshot(from Cursor) bool {
	switch {
	case from.Epoch != l.version.Epoch:
		return true
	case from.Base > 0:
		return from.Base < l.removals.horizon
	}
	return from.Index <= 0 || from.Index < l.removals.horizon
}

// Read returns the reader's next slice. The bodies in the slice and the commas between them have at most maxBytes
// together, but the slice has at least one entry if the reader lacks any. A snapshot omits the tombstones from before
// it began. Read takes time proportional to the size of the slice plus the logarithm of the size of the log plus, in a
// snapshot, the number of omitted tombstones. The log must be neither Empty nor Behind the reader.
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
