package versionlog

import "fmt"

// Cursor is where a relay's log stands as a reader of its source: inside a snapshot that has begun, else at its head.
func (l *Log) Cursor() Cursor {
	if l.staged != nil {
		return Cursor{Version: l.staged.head, Base: l.staged.base, Head: l.staged.target}
	}
	return Cursor{Version: l.head, Head: l.target}
}

// AbortSnapshot drops a snapshot that is coming in: the relay reads from another source, or anew.
func (l *Log) AbortSnapshot() { l.staged = nil }

// Apply takes the next slice of a relay's source over, whole or not at all. Changes count at once; a snapshot replaces
// the log when its last slice is in. The errors wrap ErrOlder, ErrMismatch or ErrInvalid.
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
	if slice.Snapshot {
		return l.beginSnapshot(slice)
	}
	if l.staged != nil {
		return l.continueSnapshot(slice)
	}
	switch {
	case l.head.Epoch == 0 || slice.Version.Epoch > l.head.Epoch || slice.Base != 0:
		return fmt.Errorf("%w: changes of epoch %d, base %d, at %+v", ErrMismatch, slice.Version.Epoch, slice.Base, l.head)
	case slice.Version.Before(l.head):
		return fmt.Errorf("%w: %+v at %+v", ErrOlder, slice.Version, l.head)
	case len(slice.Entries) > 0 && slice.Entries[0].Index <= l.head.Index:
		return fmt.Errorf("%w: entry %q of index %d at %+v", ErrOlder, slice.Entries[0].Name, slice.Entries[0].Index, l.head)
	}
	l.take(slice)
	return nil
}

// beginSnapshot takes the first slice of a snapshot.
func (l *Log) beginSnapshot(slice Slice) error {
	base := slice.Base
	if base == 0 { // it is the last one too
		base = slice.Version.Index
	}
	if whole := (Version{slice.Version.Epoch, base}); whole.Before(l.head) {
		return fmt.Errorf("%w: a snapshot of %+v at %+v", ErrOlder, whole, l.head)
	}
	staged := New(slice.Version.Epoch, l.remembered)
	staged.base = base
	staged.take(slice)
	l.staged = staged
	if slice.Base == 0 {
		l.adopt()
	}
	return nil
}

// continueSnapshot takes a further slice of a snapshot.
func (l *Log) continueSnapshot(slice Slice) error {
	staged := l.staged
	switch {
	case slice.Version.Epoch != staged.head.Epoch || slice.Base != 0 && slice.Base != staged.base:
		return fmt.Errorf("%w: a slice of epoch %d, base %d in a snapshot of epoch %d, base %d", ErrMismatch,
			slice.Version.Epoch, slice.Base, staged.head.Epoch, staged.base)
	case slice.Version.Before(staged.head) || len(slice.Entries) > 0 && slice.Entries[0].Index <= staged.head.Index:
		return fmt.Errorf("%w: %+v in a snapshot at %+v", ErrOlder, slice.Version, staged.head)
	case slice.Base == 0 && slice.Version.Index < staged.base:
		return fmt.Errorf("%w: a snapshot of index %d ends at %d", ErrMismatch, staged.base, slice.Version.Index)
	}
	staged.take(slice)
	if slice.Base == 0 {
		l.adopt()
	}
	return nil
}

// take enters the entries of a slice that has been checked.
func (l *Log) take(slice Slice) {
	for _, entry := range slice.Entries {
		l.put(entry)
	}
	l.head, l.target = slice.Version, max(l.target, slice.Head)
}

// adopt puts the staged snapshot in the place of the log. It holds no removals up to its base.
func (l *Log) adopt() {
	staged := l.staged
	staged.horizon = max(staged.horizon, staged.base)
	staged.base = 0
	*l = *staged
}

// Check tells what is wrong with a slice by itself: the order of its entries, their sizes, and their indexes. The error
// wraps ErrInvalid.
func (s Slice) Check() error {
	invalid := func(format string, args ...any) error {
		return fmt.Errorf("%w: %s", ErrInvalid, fmt.Sprintf(format, args...))
	}
	if s.Version.Epoch <= 0 || s.Version.Index <= 0 || s.Head < s.Version.Index || s.Base < 0 || s.Base > s.Head {
		return invalid("version %+v, head %d, base %d", s.Version, s.Head, s.Base)
	}
	last, names := int64(0), make(map[string]struct{}, len(s.Entries))
	for _, entry := range s.Entries {
		if entry.Index <= last || entry.Index > s.Version.Index {
			return invalid("entry %q of index %d after %d in a slice up to %d", entry.Name, entry.Index, last, s.Version.Index)
		}
		if entry.Name == "" || len(entry.Body) == 0 || len(entry.Body) > MaxEntryBytes {
			return invalid("entry %q of %d bytes", entry.Name, len(entry.Body))
		}
		if _, twice := names[entry.Name]; twice {
			return invalid("entry %q stands twice", entry.Name)
		}
		last, names[entry.Name] = entry.Index, struct{}{}
	}
	return nil
}
