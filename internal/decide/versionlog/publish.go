package versionlog

import (
	"errors"
	"fmt"
)

// MaxObjectBytes is the size of the longest object of a change.
const MaxObjectBytes = MaxEntryBytes - maxVersionKeyBytes

// Errors of Publish and Replace. After an error the log is as it was.
var (
	// ErrInvalidChange is wrapped by the error for a change that has no name, or whose object is no JSON object.
	ErrInvalidChange = errors.New("versionlog: invalid change")
	// ErrTooLarge is wrapped by the error for an object of more than MaxObjectBytes.
	ErrTooLarge = errors.New("versionlog: object too large")
)

// Change is a new state of a name, as an authority publishes it.
type Change struct {
	Name    string
	Removed bool
	// Object is the entry as a JSON object of at most MaxObjectBytes; without meaning for a removal. Publish checks that
	// much. The rest is the caller's to see to: its key "name" has the value Name, it has no key "version", which the
	// log adds, and its key "status", if any, is not "terminated", by which readers know tombstones.
	Object []byte
}

// check finds what keeps a change from being published.
func (c Change) check() error {
	switch {
	case c.Name == "":
		return fmt.Errorf("%w: no name", ErrInvalidChange)
	case !c.Removed && !isObject(c.Object):
		return fmt.Errorf("%w: entry %q is no JSON object", ErrInvalidChange, c.Name)
	case len(c.Object) > MaxObjectBytes:
		return fmt.Errorf("%w: entry %q has %d bytes, at most %d", ErrTooLarge, c.Name, len(c.Object), MaxObjectBytes)
	}
	return nil
}

// Publish gives each change that changes an entry's state the next index, and returns how many these are. Of several
// changes of a name the last one counts. If one of the changes is not valid, none is published, and the error wraps
// ErrInvalidChange or ErrTooLarge. It is for an authority's log.
func (l *Log) Publish(changes []Change) (int, error) {
	last := make(map[string]int, len(changes))
	for i, change := range changes {
		if err := change.check(); err != nil {
			return 0, err
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

// Replace publishes a complete state: names that it lacks are removed. Results and errors are those of Publish.
func (l *Log) Replace(state []Change) (int, error) {
	listed := make(map[string]struct{}, len(state))
	for _, change := range state {
		listed[change.Name] = struct{}{}
	}
	var changes []Change
	l.byIndex.Ascend(func(entry Entry) bool {
		if _, ok := listed[entry.Name]; !ok && !entry.Removed {
			changes = append(changes, Change{Name: entry.Name, Removed: true})
		}
		return true
	})
	return l.Publish(append(changes, state...))
}

// publish numbers a valid change and reports whether it changes the entry's state.
func (l *Log) publish(change Change) bool {
	old, known := l.byName[change.Name]
	if change.Removed {
		if !known || old.Removed {
			return false
		}
		change.Object = tombstone(change.Name)
	}
	if known && old.Removed == change.Removed && isBodyOf(old.Body, change.Object, old.Index) {
		return false
	}
	l.version.Index++
	body := withVersion(change.Object, l.version.Index)
	l.put(Entry{Name: change.Name, Index: l.version.Index, Removed: change.Removed, Body: body})
	return true
}
