package versionlog

import (
	"errors"
	"fmt"

	"github.com/google/btree"
)

// MaxEntryBytes is the longest body of an entry, in bytes: with the envelope it fits into an answer of 64 KiB.
const MaxEntryBytes = 60 << 10

// MaxObjectBytes is the longest object of a change, in bytes.
const MaxObjectBytes = MaxEntryBytes - versionKeyBytes

const (
	treeDegree      = 32
	versionKeyBytes = 32 // what a body's version key may add to it
)

// Errors of Apply. What was refused has changed nothing but a snapshot that had begun: that is dropped.
var (
	ErrOlder    = errors.New("versionlog: the slice is older than the log")
	ErrMismatch = errors.New("versionlog: the slice does not follow what the log has")
	ErrInvalid  = errors.New("versionlog: no valid slice")
)

// Change is a new state of a name, as an authority publishes it.
type Change struct {
	Name    string
	Removed bool
	Object  []byte // the entry as a JSON object without a version; nothing for a removal
}

// Log is a compacted log of versions. It is for one goroutine at a time.
type Log struct {
	head       Version
	target     int64            // the newest index that the source of a relay's log told of
	horizon    int64            // removals up to here may be forgotten
	byName     map[string]Entry // with the tombstones
	byIndex    *btree.BTreeG[Entry]
	tombstones *btree.BTreeG[Entry]
	remembered int   // tombstones, at most
	liveBytes  int   // of the bodies of entries that are not removed
	staged     *Log  // a snapshot that is coming in
	base       int64 // of the staged snapshot, in the staged log
}

func lessIndex(a, b Entry) bool { return a.Index < b.Index }

// New returns an authority's log of the epoch (over zero), or a relay's, which is empty and of epoch zero until a
// snapshot is in. It remembers so many removals.
func New(epoch int64, tombstones int) *Log {
	return &Log{head: Version{Epoch: epoch}, byName: map[string]Entry{}, remembered: tombstones,
		byIndex: btree.NewG(treeDegree, lessIndex), tombstones: btree.NewG(treeDegree, lessIndex)}
}

// Head is the version of the log.
func (l *Log) Head() Version { return l.head }

// Empty tells whether there is nothing to give out yet.
func (l *Log) Empty() bool { return l.head.Epoch == 0 || l.head.Index == 0 }

// Live is the number of entries that are not removed, and the bytes of their bodies.
func (l *Log) Live() (entries, bytes int) {
	return l.byIndex.Len() - l.tombstones.Len(), l.liveBytes
}

// Behind tells whether the reader knows of versions that this log does not have. What the reader was told of may be on its
// way to this log: then it is not behind.
func (l *Log) Behind(from Cursor) bool {
	return l.head.Before(Version{from.Epoch, max(from.Index, from.Base)}) ||
		from.Epoch == l.head.Epoch && max(l.head.Index, l.target) < from.Head
}

// NeedsSnapshot tells whether the reader gets a snapshot from its beginning.
func (l *Log) NeedsSnapshot(from Cursor) bool {
	switch {
	case from.Epoch != l.head.Epoch:
		return true
	case from.Base > 0:
		return from.Base < l.horizon
	}
	return from.Index <= 0 || from.Index < l.horizon
}

// Read gives the reader its next slice, with bodies (and commas) of maxBytes together, but one entry at least.
// It takes time proportional to the slice, to the logarithm of the log, and in a snapshot to the tombstones passed over.
// The log must be neither Empty nor Behind the reader.
func (l *Log) Read(from Cursor, maxBytes int) Slice {
	slice := Slice{Version: l.head, Head: max(l.head.Index, l.target), Snapshot: l.NeedsSnapshot(from)}
	after, base := from.Index, from.Base
	if slice.Snapshot {
		after, base = 0, l.head.Index
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

// Publish gives each entry that really changes the next index, and returns their number. Of several changes of a
// name the last one counts. It is for an authority, and nothing is published where one of the changes is not valid.
func (l *Log) Publish(changes []Change) (int, error) {
	last := make(map[string]int, len(changes))
	for i, change := range changes {
		if change.Name == "" || !change.Removed && !isObject(change.Object) {
			return 0, fmt.Errorf("versionlog: change of %q has no name or is no object", change.Name)
		}
		if len(change.Object) > MaxObjectBytes {
			return 0, fmt.Errorf("versionlog: entry %q has %d bytes, more than %d", change.Name, len(change.Object), MaxObjectBytes)
		}
		last[change.Name] = i
	}
	published := 0
	for i, change := range changes {
		if last[change.Name] == i && l.publish(change) {
			published++
		}
	}
	return published, nil
}

// Replace publishes a whole state: live entries that it does not hold are removed.
func (l *Log) Replace(state []Change) (int, error) {
	held := make(map[string]struct{}, len(state))
	for _, change := range state {
		held[change.Name] = struct{}{}
	}
	var changes []Change
	l.byIndex.Ascend(func(entry Entry) bool {
		if _, here := held[entry.Name]; !here && !entry.Removed {
			changes = append(changes, Change{Name: entry.Name, Removed: true})
		}
		return true
	})
	return l.Publish(append(changes, state...))
}

func (l *Log) publish(change Change) bool {
	old, known := l.byName[change.Name]
	if change.Removed {
		if !known || old.Removed {
			return false
		}
		change.Object = tombstone(change.Name)
	}
	if known && old.Removed == change.Removed && unversioned(old.Body, change.Object, old.Index) {
		return false
	}
	l.head.Index++
	l.put(Entry{Name: change.Name, Index: l.head.Index, Removed: change.Removed, Body: versioned(change.Object, l.head.Index)})
	return true
}

// put enters the newest state of a name.
func (l *Log) put(entry Entry) {
	if old, known := l.byName[entry.Name]; known {
		l.drop(old)
	}
	l.byName[entry.Name] = entry
	l.byIndex.ReplaceOrInsert(entry)
	if !entry.Removed {
		l.liveBytes += len(entry.Body)
		return
	}
	l.tombstones.ReplaceOrInsert(entry)
	for l.tombstones.Len() > l.remembered {
		oldest, _ := l.tombstones.Min()
		l.drop(oldest)
		l.horizon = max(l.horizon, oldest.Index)
	}
}

// drop takes an entry out of the log.
func (l *Log) drop(entry Entry) {
	delete(l.byName, entry.Name)
	l.byIndex.Delete(entry)
	if entry.Removed {
		l.tombstones.Delete(entry)
		return
	}
	l.liveBytes -= len(entry.Body)
}
