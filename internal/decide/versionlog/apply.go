package versionlog

import (
	"errors"
	"fmt"
)

// Errors of Log.Apply. A slice that is refused changes nothing, but a snapshot that is being taken is dropped.
var (
	// ErrOlder is wrapped by the error for a slice that is older than what the log has.
	ErrOlder = errors.New("versionlog: the slice is older than the log")
	// ErrMismatch is wrapped by the error for a slice that does not go on from what the log has.
	ErrMismatch = errors.New("versionlog: the slice does not follow what the log has")
	// ErrInvalid is wrapped by the error for a slice that no log gives.
	ErrInvalid = errors.New("versionlog: no valid slice")
)

// staging is a snapshot that a relay is taking. Readers get the relay's old log until it is complete.
type staging struct {
	log  *Log
	base int64 // index of the source's version when the snapshot began
}

// Cursor returns where a relay stands as a reader of its source: within the snapshot that it is taking, else at its
// version.
func (l *Log) Cursor() Cursor {
	if s := l.staging; s != nil {
		return Cursor{Version: s.log.version, Base: s.base, NewestIndex: s.log.announcedIndex}
	}
	return Cursor{Version: l.version, NewestIndex: l.announcedIndex}
}

// AbortSnapshot drops a snapshot that is being taken. It is for a relay that reads from another source, or anew.
func (l *Log) AbortSnapshot() { l.staging = nil }

// Apply takes the next slice of a relay's source, as a whole or not at all. Readers get changes at once, and a snapshot
// when its last slice is in. The error wraps ErrOlder, ErrMismatch or ErrInvalid.
func (l *Log) Apply(slice Slice) error {
	err := l.apply(slice)
	if err != nil {
		l.AbortSnapshot()
	}
	return err
}

func (l *Log) apply(slice Slice) error {
	if err := slice.Check(); err != nil {
		return err
	}
	switch {
	case slice.Snapshot:
		return l.beginSnapshot(slice)
	case l.staging != nil:
		return l.continueSnapshot(slice)
	}
	return l.applyChanges(slice)
}

// applyChanges takes a slice that belongs to no snapshot.
func (l *Log) applyChanges(slice Slice) error {
	switch {
	case !l.version.HasEpoch() || slice.Version.Epoch > l.version.Epoch || slice.Base != 0:
		return fmt.Errorf("%w: changes of epoch %d, base %d, at %+v",
			ErrMismatch, slice.Version.Epoch, slice.Base, l.version)
	case slice.Version.Before(l.version):
		return fmt.Errorf("%w: %+v at %+v", ErrOlder, slice.Version, l.version)
	case slice.beginsAtOrBefore(l.version.Index):
		first := slice.Entries[0]
		return fmt.Errorf("%w: entry %q of index %d at %+v", ErrOlder, first.Name, first.Index, l.version)
	}
	l.enter(slice)
	return nil
}

// beginSnapshot takes the first slice of a snapshot. It is the last one too if it has no base.
func (l *Log) beginSnapshot(slice Slice) error {
	base := slice.Base
	if base == 0 {
		base = slice.Version.Index
	}
	if v := (Version{slice.Version.Epoch, base}); v.Before(l.version) {
		return fmt.Errorf("%w: a snapshot of %+v at %+v", ErrOlder, v, l.version)
	}
	l.staging = &staging{log: New(slice.Version.Epoch, l.removals.max), base: base}
	l.stage(slice)
	return nil
}

// continueSnapshot takes a further slice of a snapshot.
func (l *Log) continueSnapshot(slice Slice) error {
	base, at := l.staging.base, l.staging.log.version
	switch {
	case slice.Version.Epoch != at.Epoch || slice.Base != 0 && slice.Base != base:
		return fmt.Errorf("%w: a slice of epoch %d, base %d in a snapshot of epoch %d, base %d", ErrMismatch,
			slice.Version.Epoch, slice.Base, at.Epoch, base)
	case slice.Version.Before(at) || slice.beginsAtOrBefore(at.Index):
		return fmt.Errorf("%w: %+v in a snapshot at %+v", ErrOlder, slice.Version, at)
	case slice.Base == 0 && slice.Version.Index < base:
		return fmt.Errorf("%w: a snapshot of index %d ends at %d", ErrMismatch, base, slice.Version.Index)
	}
	l.stage(slice)
	return nil
}

// stage enters a slice of a snapshot. With the last one the snapshot takes the place of the log. It has no tombstones
// from before its base, so readers from before that need a snapshot too.
func (l *Log) stage(slice Slice) {
	log, base := l.staging.log, l.staging.base
	log.enter(slice)
	if slice.Base != 0 {
		return
	}
	log.removals.horizon = max(log.removals.horizon, base)
	*l = *log
}

// enter puts the entries of a slice that has been checked into the log.
func (l *Log) enter(slice Slice) {
	for _, entry := range slice.Entries {
		l.put(entry)
	}
	l.version, l.announcedIndex = slice.Version, max(l.announcedIndex, slice.NewestIndex)
}

// beginsAtOrBefore reports whether the slice has entries and the first one's index is not above index.
func (s Slice) beginsAtOrBefore(index int64) bool {
	return len(s.Entries) > 0 && s.Entries[0].Index <= index
}
