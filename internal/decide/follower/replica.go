// Package follower keeps a reader's copy of a version log: where it stands, which names it holds at which index, and
// whether an answer of a source may be taken. An answer is checked whole before anything of it counts, and the replica
// never goes back: not to an older epoch, not to an older index. The package holds no bodies, does no I/O and reads no
// clock.
package follower

import (
	"errors"
	"fmt"

	"harepass/internal/decide/versionlog"
)

var (
	// ErrBehind is returned for an answer that is older than what the reader has.
	ErrBehind = errors.New("replica: the source is behind")
	// ErrInvalid is returned for an answer that no source gives by the contract.
	ErrInvalid = errors.New("replica: invalid answer")
)

// Change is what an answer makes of a replica.
type Change struct {
	Version versionlog.Version
	// Entries are those that changed the replica, in the order of their indexes. Entries of a snapshot that the reader
	// has already are left out.
	Entries []versionlog.Entry
	// Gone are the names that a snapshot did not hold. They come with its last slice.
	Removed []string
	// Whole tells that the replica is the log's state at Version.
	Complete bool
	// Completed tells that this answer was the last slice of a snapshot.
	Completed bool
}

// State is a reader's replica. The zero value has nothing.
type State struct {
	// AnySnapshot takes a snapshot over whatever its index is. It is for a single source that counts by an index of its
	// own, as the discovery service does.
	AcceptAnySnapshot bool

	known   bool // the cursor says something
	cursor  versionlog.Cursor
	least   versionlog.Version  // sources whose head is older are behind
	all     bool                // a snapshot was completed, and none is under way
	indexes map[string]int64    // by name, of the entries held
	seen    map[string]struct{} // names in the slices of the snapshot under way; nil outside of one
}

// Cursor is where the reader stands; ok is false where it has nothing and is to ask for a snapshot.
func (s *State) Cursor() (c versionlog.Cursor, ok bool) { return s.cursor, s.known }

// Complete tells whether the replica is the log's state at the cursor's version: no snapshot is missing or under way, and
// the reader has all that it was told of.
func (s *State) Complete() bool { return s.all && s.cursor.Complete() }

// Seed enters names that the reader has from elsewhere: the first snapshot that does not hold them makes them gone.
func (s *State) Seed(names []string) {
	if s.indexes == nil {
		s.indexes = map[string]int64{}
	}
	for _, name := range names {
		s.indexes[name] = unknownIndex
	}
}

// Len is how many names the replica holds.
func (s *State) Len() int { return len(s.indexes) }

// Apply takes an answer over, or returns why it does not; then nothing has changed.
func (s *State) Apply(slice versionlog.Slice) (Change, error) {
	if err := s.check(slice); err != nil {
		return Change{}, err
	}
	if slice.Snapshot {
		s.begin(slice.Version.Epoch)
	}
	if slice.Snapshot && s.AcceptAnySnapshot {
		s.cursor, s.least = versionlog.Cursor{}, versionlog.Version{}
	}
	c := Change{Version: slice.Version}
	for _, e := range slice.Entries {
		if s.apply(e) {
			c.Entries = append(c.Entries, e)
		}
	}
	s.cursor, s.known = s.cursor.After(slice), true
	s.raise(slice)
	if s.seen != nil && slice.Base == 0 {
		c.Removed, c.Completed = s.complete(), true
	}
	c.Complete = s.Complete()
	return c, nil
}

// check finds what keeps an answer from being taken. Services without epochs number no entries, so the rules for
// slices do not hold for theirs.
func (s *State) check(slice versionlog.Slice) error {
	if slice.Version.Epoch != 0 {
		if err := slice.Check(); err != nil {
			return fmt.Errorf("%w: %w", ErrInvalid, err)
		}
	}
	if err := s.checkVersion(slice); err != nil {
		return err
	}
	return s.checkEntries(slice)
}

// checkVersion holds an answer's version against the reader's.
func (s *State) checkVersion(slice versionlog.Slice) error {
	if slice.Snapshot && s.AcceptAnySnapshot {
		return nil
	}
	if s.known && slice.Version.Epoch < s.cursor.Epoch {
		return fmt.Errorf("%w: epoch %d, the reader has %d", ErrBehind, slice.Version.Epoch, s.cursor.Epoch)
	}
	if slice.Snapshot || slice.Base == 0 { // else it is a slice in the midst of a snapshot
		if held := heldBy(slice); held.Before(s.least) {
			return fmt.Errorf("%w: index %d, the reader knows of %d", ErrBehind, held.Index, s.least.Index)
		}
	}
	if slice.Snapshot {
		return nil
	}
	switch {
	case !s.known:
		return fmt.Errorf("%w: changes to nothing", ErrInvalid)
	case slice.Version.Epoch != s.cursor.Epoch:
		return fmt.Errorf("%w: changes of epoch %d, the reader has %d", ErrInvalid, slice.Version.Epoch, s.cursor.Epoch)
	case slice.Version.Index < s.cursor.Index:
		return fmt.Errorf("%w: index %d, the reader has %d", ErrBehind, slice.Version.Index, s.cursor.Index)
	case slice.Base != 0 && slice.Base != s.cursor.Base:
		return fmt.Errorf("%w: base %d, the reader's snapshot has %d", ErrInvalid, slice.Base, s.cursor.Base)
	}
	return nil
}

// heldBy is the newest version that an answer shows its source to have.
func heldBy(slice versionlog.Slice) versionlog.Version {
	v := slice.Version
	v.Index = max(v.Index, slice.Base)
	return v
}

// checkEntries holds the entries against the reader's.
func (s *State) checkEntries(slice versionlog.Slice) error {
	if slice.Version.Epoch == 0 {
		return nil
	}
	for _, e := range slice.Entries {
		if !slice.Snapshot && e.Index <= s.cursor.Index {
			return fmt.Errorf("%w: %.40q has index %d, the reader is at %d", ErrInvalid, e.Name, e.Index, s.cursor.Index)
		}
		if held := s.indexes[e.Name]; slice.Version.Epoch == s.cursor.Epoch && e.Index < held {
			return fmt.Errorf("%w: %.40q goes back from index %d to %d", ErrInvalid, e.Name, held, e.Index)
		}
	}
	return nil
}

// unknownIndex is that of an entry whose index is another epoch's.
const unknownIndex = -1

// begin starts a snapshot. Indexes of another epoch say nothing about what an entry holds.
func (s *State) begin(epoch int64) {
	if s.indexes == nil {
		s.indexes = map[string]int64{}
	}
	if epoch != s.cursor.Epoch || epoch == 0 {
		for name := range s.indexes {
			s.indexes[name] = unknownIndex
		}
	}
	s.seen, s.all = map[string]struct{}{}, false
}

// apply takes an entry over and tells whether it was news.
func (s *State) apply(e versionlog.Entry) (changed bool) {
	if s.seen != nil {
		s.seen[e.Name] = struct{}{}
	}
	held, here := s.indexes[e.Name]
	if e.Removed {
		delete(s.indexes, e.Name)
		return true
	}
	s.indexes[e.Name] = e.Index
	return !here || held != e.Index
}

// raise notes the newest version that is known to exist.
func (s *State) raise(slice versionlog.Slice) {
	held := heldBy(slice)
	if s.least.Before(held) {
		s.least = held
	}
}

// complete ends a snapshot and returns the names that it did not hold.
func (s *State) complete() (gone []string) {
	for name := range s.indexes {
		if _, here := s.seen[name]; !here {
			gone = append(gone, name)
			delete(s.indexes, name)
		}
	}
	s.seen, s.all = nil, true
	return gone
}
