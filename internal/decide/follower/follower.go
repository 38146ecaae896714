// Package follower keeps track of where a reader of a version log stands: the version that it has, the index of each
// name, and whether the next answer of a source may be applied.
//
// # Contract
//
// A State never goes back, neither to an older epoch nor to an older index, whichever source answers. The one exception
// is a snapshot for a State with AcceptAnySnapshot, which may be of any version.
//
// An answer is checked completely before any of it counts: it is applied as a whole or not at all. The names that a
// snapshot lacks are removed with its last slice, so a reader whose source is lost within a snapshot keeps what it had.
//
// The package holds no bodies of entries. A State has no clock and does no I/O; it is for one goroutine at a time.
package follower

import (
	"errors"

	"harepass/internal/decide/versionlog"
)

// Errors of State.Apply. After an error the State is as it was.
var (
	// ErrBehind is wrapped by the error for an answer that is older than what the reader has. Its source may catch up.
	ErrBehind = errors.New("follower: the source is behind the reader")
	// ErrInvalid is wrapped by the error for an answer that breaks the protocol.
	ErrInvalid = errors.New("follower: invalid answer")
)

// Applied is what an applied answer changes for the reader.
type Applied struct {
	// Version is the version that the reader has now.
	Version versionlog.Version
	// Entries are the entries that are new or changed, in the order of their indexes. Some may be tombstones, which
	// remove their names (Entry.Removed). Entries of a snapshot that the reader has already are left out.
	Entries []versionlog.Entry
	// MissingFromSnapshot are the names that the reader has and a snapshot lacks: they are removed too. They come with
	// the snapshot's last slice. Names that a tombstone removes are not among them.
	MissingFromSnapshot []string
	// Complete states that the reader has all of the log's state at Version, and knows of no newer one.
	Complete bool
	// SnapshotCompleted states that the answer was the last slice of a snapshot.
	SnapshotCompleted bool
}

// State is where one reader stands. The zero value has no version and no names.
type State struct {
	// AcceptAnySnapshot applies a snapshot whatever its version is. It is for a reader of one source that counts by an
	// index of its own, as the discovery service does.
	AcceptAnySnapshot bool

	hasVersion bool               // an answer was applied, so cursor is valid
	cursor     versionlog.Cursor  // up to where the reader has the log
	newest     versionlog.Version // the newest that a source has shown; a source with an older one is behind
	indexes    map[string]int64   // by name, of the entries that the reader has; unknownIndex where none of this epoch
	snapshot   snapshot
}

// unknownIndex is the index of a name whose entry is of another epoch, or comes from elsewhere than a log.
const unknownIndex = -1

// snapshot is the progress of the reader's snapshot.
type snapshot struct {
	completed bool                // a snapshot was completed, and none is under way
	names     map[string]struct{} // names in the slices of the snapshot under way; nil while there is none
}

// Cursor returns where the reader stands. ok is false before the first answer, when it is to call for a snapshot.
func (s *State) Cursor() (c versionlog.Cursor, ok bool) { return s.cursor, s.hasVersion }

// Complete reports whether the reader has the log's state at the cursor's version and knows of no newer one: no
// snapshot is missing or under way, and no change that a source has announced.
func (s *State) Complete() bool { return s.snapshot.completed && s.cursor.Complete() }

// Len returns how many names the reader has.
func (s *State) Len() int { return len(s.indexes) }

// Seed adds names that the reader has from elsewhere. The first snapshot that lacks them removes them. It is to be
// called before the first Apply.
func (s *State) Seed(names []string) {
	if s.indexes == nil {
		s.indexes = map[string]int64{}
	}
	for _, name := range names {
		s.indexes[name] = unknownIndex
	}
}

// Apply takes the next answer of a source. It returns what that changes, or an error that wraps ErrBehind or
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

// applyEntry takes an entry and reports whether it changes what the reader has.
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

// beginSnapshot begins a snapshot of a version. Indexes of another epoch, or of a service without epochs, do not tell
// whether an entry has changed.
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
