package follower

import (
	"fmt"

	"harepass/internal/decide/versionlog"
)

// check finds what keeps an answer from being applied. Services without epochs do not number their entries, so the
// checks of slices and entries do not hold for their answers.
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

// checkNotBehind returns an error if the answer's source has not what the reader knows to exist. A slice within a
// snapshot says nothing of that: the snapshot's first slice was checked.
//
// A source refuses such a reader by itself (versionlog.Log.Behind), as far as the reader's cursor shows. The reader
// knows more: the newest version that any of its sources has shown to have. What a source has only announced does not
// count here: no source need have it yet.
func (s *State) checkNotBehind(slice versionlog.Slice) error {
	if s.hasVersion && slice.Version.Epoch < s.cursor.Epoch {
		return fmt.Errorf("%w: epoch %d, the reader has %d", ErrBehind, slice.Version.Epoch, s.cursor.Epoch)
	}
	withinSnapshot := !slice.Snapshot && slice.Base != 0
	if v := slice.SourceVersion(); !withinSnapshot && v.Before(s.newest) {
		return fmt.Errorf("%w: index %d, the reader knows of %d", ErrBehind, v.Index, s.newest.Index)
	}
	return nil
}

// checkFollowsCursor returns an error if an answer that begins no snapshot does not go on from the reader's cursor.
func (s *State) checkFollowsCursor(slice versionlog.Slice) error {
	switch {
	case !s.hasVersion:
		return fmt.Errorf("%w: changes for a reader without a version", ErrInvalid)
	case slice.Version.Epoch != s.cursor.Epoch:
		return fmt.Errorf("%w: changes of epoch %d, the reader has %d", ErrInvalid, slice.Version.Epoch, s.cursor.Epoch)
	case slice.Version.Index < s.cursor.Index:
		return fmt.Errorf("%w: index %d, the reader has %d", ErrBehind, slice.Version.Index, s.cursor.Index)
	case slice.Base != 0 && slice.Base != s.cursor.Base:
		return fmt.Errorf("%w: base %d, the reader's snapshot has %d", ErrInvalid, slice.Base, s.cursor.Base)
	}
	return nil
}

// checkEntries returns an error if an entry goes back behind what the reader has.
func (s *State) checkEntries(slice versionlog.Slice) error {
	if !slice.Version.HasEpoch() {
		return nil
	}
	for _, e := range slice.Entries {
		if !slice.Snapshot && e.Index <= s.cursor.Index {
			return fmt.Errorf("%w: %.40q has index %d, the reader is at %d",
				ErrInvalid, e.Name, e.Index, s.cursor.Index)
		}
		if index := s.indexes[e.Name]; slice.Version.Epoch == s.cursor.Epoch && e.Index < index {
			return fmt.Errorf("%w: %.40q goes back from index %d to %d", ErrInvalid, e.Name, index, e.Index)
		}
	}
	return nil
}
