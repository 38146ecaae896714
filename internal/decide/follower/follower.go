// Package follower tracks the progress of one reader of a version log: the version that it has and the index of each
// name. It decides whether the reader may apply the next answer of a source.
//
// # Contract
//
// A State never goes back to an older epoch or an older index, whichever source answers. The only exception is a
// snapshot for a State with AcceptAnySnapshot, which may be of any version.
//
// Apply checks an answer completely before it changes the State, so an answer is applied as a whole or not at all. The
// last slice of a snapshot removes the names that the snapshot lacks, so a reader that loses its source within a
// snapshot keeps the names that it had.
//
// The package does not store the bodies of entries. A State has no clock and does no I/O; it is for one goroutine at a
// time.
package follower

import (
	"errors"

	"harepass/internal/decide/versionlog"
)

// Errors of State.Apply. An error leaves the State unchanged.
var (
	// ErrBehind is wrapped by the error for an answer that is older than what the reader has. The source may catch up.
	ErrBehind = errors.New("follower: the source is behind the reader")
	// ErrInvalid is wrapped by the error for an answer that violates the protocol.
	ErrInvalid = errors.New("follower: invalid answer")
)

// Applied is what an applied answer changes for the reader.
type Applied struct {
	// Version is the version that the reader has now.
	Version versionlog.Version
	// Entries are the new or changed entries, in the order of their indexes. Some may be tombstones, which remove their
	// names (Entry.Removed). Entries of a snapshot that the reader already has are left out.
	Entries []versionlog.Entry
	// MissingFromSnapshot are the names that the reader had and the snapshot lacks. They are removed too. Only the last
	// slice of a snapshot has them. Names that a tombstone removes are not among them.
	MissingFromSnapshot []string
	// Complete reports whether the reader has the log's whole state at Version and knows of no newer version.
	Complete bool
	// SnapshotCompleted reports whether the answer was the last slice of a snapshot.
	SnapshotCompleted bool
}

// State is the progress of one reader. The zero value has no version and no names.
type State struct {
	// AcceptAnySnapshot makes Apply accept a snapshot of any version. It is for a reader of a single source that has
	// its own index, such as the discovery service.
	AcceptAnySnapshot bool

	hasVersion bool               // an answer was applied, so cursor is valid
	cursor     versionlog.Cursor  // position up to which the reader has the log
	newest     versionlog.Version // newest version that a source has shown; a source with an older one is behind
	indexes    map[string]int64   // index of each name's entry; unknownIndex if the entry is not of this epoch
	snapshot   snapshot
}

// unknownIndex is the index of a name whose entry is of another epoch or does not come from a log.
const unknownIndex = -1

// snapshot is the progress of the reader's snapshot.
type snapshot struct {
	completed bool                // a snapshot was completed, and none is in progress
	names     map[string]struct{} // names in the slices of the snapshot in progress; nil if there is none
}

// Cursor returns the reader's position in the log. ok is false before the first answer; the reader then needs a
// snapshot.
func (s *State) Cursor() (c versionlog.Cursor, ok bool) { return s.cursor, s.hasVersion }

// Complete reports whether the reader has the log's whole state at the cursor's version and knows of no newer version:
// it has completed a snapshot, no other is in progress, and it has all changes that a source has announced.
func (s *State) Complete() bool { return s.snapshot.completed && s.cursor.Complete() }

// Len returns the number of names that the reader has.
func (s *State) Len() int { return len(s.indexes) }

// Seed adds names that the reader has from another origin than a source. The first snapshot removes those that it
// lacks. Seed must be called before the first Apply.
func (s *State) Seed(names []string) {
	if s.indexes == nil {
		s.indexes = map[string]int64{}
	}
	for _, name := range names {
		s.indexes[name] = unknownIndex
	}
}

// Apply applies the next answer of a source. It returns what the answer changes, or an error that wraps ErrBehind or
// ErrInvalid.
func (s *State) Apply(slice versionlog.Slice) (Applied, error) {
	if err := s.check(slice); err != nil {
		return Applied{}, err
	}
	if slice.Snapshot {
		s.beginSnapshot(slice.Version)
	}
	applied := Applied{Version: slice.Version}
	for _, e := range slice.Entries {
		if s.applyEntry(e) {
			applied.Entries = append(applied.Entries, e)
		}
	}
	s.cursor, s.hasVersion = s.cursor.After(slice), true
	if v := slice.SourceVersion(); s.newest.Before(v) {
		s.newest = v
	}
	if s.snapshot.names != nil && slice.Base == 0 {
		applied.MissingFromSnapshot, applied.SnapshotCompleted = s.completeSnapshot(), true
	}
	applied.Complete = s.Complete()
	return applied, nil
}

// applyEntry applies an entry and reports whether it changes what the reader has.
func (s *State) applyEntry(e versionlog.Entry) (changed bool) {
	if s.snapshot.names != nil {
		s.snapshot.names[e.Name] = struct{}{}
	}
	index, has := s.indexes[e.Name]
	if e.Removed {
		delete(s.indexes, e.Name)
		return true
	}
	s.indexes[e.Name] = e.Index
	return !has || index != e.Index
}

// beginSnapshot begins a snapshot of the given version. It sets indexes of another epoch, or of a service without
// epochs, to unknownIndex, because they do not show whether an entry has changed.
func (s *State) beginSnapshot(of versionlog.Version) {
	if s.indexes == nil {
		s.indexes = map[string]int64{}
	}
	if of.Epoch != s.cursor.Epoch || !of.HasEpoch() {
		for name := range s.indexes {
			s.indexes[name] = unknownIndex
		}
	}
	if s.AcceptAnySnapshot {
		s.cursor, s.newest = versionlog.Cursor{}, versionlog.Version{}
	}
	s.snapshot = snapshot{names: map[string]struct{}{}}
}

// completeSnapshot ends a snapshot and returns the names that it lacks.
func (s *State) completeSnapshot() (missing []string) {
	for name := range s.indexes {
		if _, has := s.snapshot.names[name]; !has {
			missing = append(missing, name)
			delete(s.indexes, name)
		}
	}
	s.snapshot = snapshot{completed: true}
	return missing
}
