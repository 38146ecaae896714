package versionlog

import (
	"errors"
	"fmt"
)

// Errors of Log.Apply. A rejected slice does not change the log, but it aborts a snapshot that is in progress.
var (
	// ErrOlder is wrapped by the error for a slice that is older than the log.
	ErrOlder = errors.New("versionlog: the slice is older than the log")
	// ErrMismatch is wrapped by the error for a slice that does not continue what the log has.
	ErrMismatch = errors.New("versionlog: the slice does not continue the log")
	// ErrInvalid is wrapped by the error for a slice that violates the rules of Slice.Check.
	ErrInvalid = errors.New("versionlog: invalid slice")
)

// staging is the snapshot that a relay is receiving. Readers get the relay's old log until the snapshot is complete.
type staging struct {
	log  *Log
	base int64 // index of the source's version when the snapshot began
}

// Cursor returns the relay's position as a reader of its source: the position within the snapshot that it is receiving,
// or else its version.
func (l *Log) Cursor() Cursor {
	if s := l.staging; s != nil {
		return Cursor{Version: s.log.version, Base: s.base, NewestIndex: s.log.announcedIndex}
	}
	return Cursor{Version: l.version, NewestIndex: l.announcedIndex}
}

// AbortSnapshot discards the snapshot that a relay is receiving. It is for a relay that changes its source or starts to
// read again.
func (l *Log) AbortSnapshot() { l.staging = nil }

// Apply applies the next slice of a relay's source, as a whole or not at all. Readers get changes at once, and a
// snapshot after its last slice. The error wraps ErrOlder, ErrMismatch or ErrInvalid.
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

// applyChanges applies a slice that does not belong to a snapshot.
func (l *Log) applyChanges(slice Slice) error {
	switch {
	case !l.version.HasEpoch() || slice.Version.Epoch > l.version.Epoch || slice.Base != 0:
		return fmt.Errorf("%w: changes of epoch %d and base %d, log is at %+v",
			ErrMismatch, slice.Version.Epoch, slice.Base, l.version)
	case slice.Version.Before(l.version):
		return fmt.Errorf("%w: slice ends at %+v, log is at %+v", ErrOlder, slice.Version, l.version)
	case slice.beginsAtOrBefore(l.version.Index):
		first := slice.Entries[0]
		return fmt.Errorf("%w: entry %q has index %d, log is at %+v", ErrOlder, first.Name, first.Index, l.version)
	}
	l.enter(slice)
	return nil
}

// beginSnapshot applies the first slice of a snapshot. A first slice without a base is also the last one.
func (l *Log) beginSnapshot(slice Slice) error {
	base := slice.Base
	if base == 0 {
		base = slice.Version.Index
	}
	if v := (Version{slice.Version.Epoch, base}); v.Before(l.version) {
		return fmt.Errorf("%w: snapshot of %+v, log is at %+v", ErrOlder, v, l.version)
	}
	l.staging = &staging{log: New(slice.Version.Epoch, l.removals.max), base: base}
	l.stage(slice)
	return nil
}

// continueSnapshot applies a later slice of a snapshot.
func (l *Log) continueSnapshot(slice Slice) error {
	base, at := l.staging.base, l.staging.log.version
	switch {
	case slice.Version.Epoch != at.Epoch || slice.Base != 0 && slice.Base != base:
		return fmt.Errorf("%w: slice of epoch %d and base %d in a snapshot of epoch %d and base %d", ErrMismatch,
			slice.Version.Epoch, slice.Base, at.Epoch, base)
	case slice.Version.Before(at) || slice.beginsAtOrBefore(at.Index):
		return fmt.Errorf("%w: slice ends at %+v, snapshot is at %+v", ErrOlder, slice.Version, at)
	case slice.Base == 0 && slice.Version.Index < base:
		return fmt.Errorf("%w: snapshot of base %d ends at index %d", ErrMismatch, base, slice.Version.Index)
	}
	l.stage(slice)
	return nil
}

// stage adds a slice to the staged snapshot. After its last slice the snapshot replaces the log. A snapshot has no
// tombstones from before its base, so readers below the base need a snapshot too.
func (l *Log) stage(slice Slice) {
	log, base := l.staging.log, l.staging.base
	log.enter(slice)
	if slice.Base != 0 {
		return
	}
	log.removals.horizon = max(log.removals.horizon, base)
	*l = *log
}

// enter adds the entries of a checked slice to the log.
func (l *Log) enter(slice Slice) {
	for _, entry := range slice.Entries {
		l.put(entry)
	}
	l.version, l.announcedIndex = slice.Version, max(l.announcedIndex, slice.NewestIndex)
}

// beginsAtOrBefore reports whether the slice has entries and the index of the first one is not above the given index.
func (s Slice) beginsAtOrBefore(index int64) bool {
	return len(s.Entries) > 0 && s.Entries[0].Index <= index
}
