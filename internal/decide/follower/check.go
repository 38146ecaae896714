package follower

import (
	"fmt"

	"harepass/internal/decide/versionlog"
)

// check returns an error if an answer must not be applied. Services without epochs do not number their entries, so
// check skips the checks of the slice itself and of its entries in their answers.
func (s *State) check(slice versionlog.Slice) error {
	if slice.Version.HasEpoch() {
		if err := slice.Check(); err != nil {
			return fmt.Errorf("%w: %w", ErrInvalid, err)
		}
	}
	if !slice.Snapshot || !s.AcceptAnySnapshot {
		if err := s.checkNotBehind(slice); err != nil {
			return err
		}
	}
	if !slice.Snapshot {
		if err := s.checkFollowsCursor(slice); err != nil {
			return err
		}
	}
	return s.checkEntries(slice)
}

// checkNotBehind returns an error if the source of the answer lacks a version that the reader knows to exist. For the
// later slices of a snapshot it checks only the epoch, because the index was checked with the first slice.
//
// A source itself refuses to answer a reader that it is behind (versionlog.Log.Behind), but the source knows only the
// reader's cursor. The reader also knows the newest version that any of its sources has shown to have. An index that a
// source has only announced does not count here, because perhaps no source has it yet.
func (s *State) checkNotBehind(slice versionlog.Slice) error {
	if s.hasVersion && slice.Version.Epoch < s.cursor.Epoch {
		return fmt.Errorf("%w: source has epoch %d, reader has %d", ErrBehind, slice.Version.Epoch, s.cursor.Epoch)
	}
	withinSnapshot := !slice.Snapshot && slice.Base != 0
	if v := slice.SourceVersion(); !withinSnapshot && v.Before(s.newest) {
		return fmt.Errorf("%w: source has index %d, reader knows of %d", ErrBehind, v.Index, s.newest.Index)
	}
	return nil
}

// checkFollowsCursor returns an error if an answer that does not begin a snapshot does not continue from the reader's
// cursor.
func (s *State) checkFollowsCursor(slice versionlog.Slice) error {
	switch {
	case !s.hasVersion:
		return fmt.Errorf("%w: changes for a reader without a version", ErrInvalid)
	case slice.Version.Epoch != s.cursor.Epoch:
		return fmt.Errorf("%w: changes of epoch %d, reader has %d", ErrInvalid, slice.Version.Epoch, s.cursor.Epoch)
	case slice.Version.Index < s.cursor.Index:
		return fmt.Errorf("%w: slice has index %d, reader has %d", ErrBehind, slice.Version.Index, s.cursor.Index)
	case slice.Base != 0 && slice.Base != s.cursor.Base:
		return fmt.Errorf("%w: slice has base %d, reader's snapshot has %d", ErrInvalid, slice.Base, s.cursor.Base)
	}
	return nil
}

// checkEntries returns an error if an entry is older than the reader's entry of the same name, or if an answer that
// does not begin a snapshot has an entry at or below the reader's index.
func (s *State) checkEntries(slice versionlog.Slice) error {
	if !slice.Version.HasEpoch() {
		return nil
	}
	for _, e := range slice.Entries {
		if !slice.Snapshot && e.Index <= s.cursor.Index {
			return fmt.Errorf("%w: entry %.40q has index %d, reader is at %d",
				ErrInvalid, e.Name, e.Index, s.cursor.Index)
		}
		if index := s.indexes[e.Name]; slice.Version.Epoch == s.cursor.Epoch && e.Index < index {
			return fmt.Errorf("%w: entry %.40q goes back from index %d to %d", ErrInvalid, e.Name, index, e.Index)
		}
	}
	return nil
}
