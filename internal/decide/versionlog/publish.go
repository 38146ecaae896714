package versionlog

import (
	"errors"
	"fmt"
)

// MaxObjectBytes is the largest size of a change's object.
const MaxObjectBytes = MaxEntryBytes - maxVersionKeyBytes

// Errors of Publish and Replace. An error leaves the log unchanged.
var (
	// ErrInvalidChange is wrapped by the error for a change that has no name, or whose Object is not a JSON object.
	ErrInvalidChange = errors.New("versionlog: invalid change")
	// ErrTooLarge is wrapped by the error for an object of more than MaxObjectBytes.
	ErrTooLarge = errors.New("versionlog: object too large")
)

// Change is a new state of a name that an authority publishes.
type Change struct {
	Name    string
	Removed bool
	// Object is the entry as a JSON object of at most MaxObjectBytes; it is not used for a removal. Publish checks only
	// this. The caller ensures that the key "name" has the value Name, that there is no key "version", which the log
	// adds, and that the key "status", if any, is not "terminated", which marks tombstones for readers.
	Object []byte
}

// check returns an error if a change must not be published.
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

// Publish gives the next index to each change that alters the state of an entry, and returns the number of these
// changes. Only the last of several changes of one name counts. If any change is invalid, Publish publishes none, and
// the error wraps ErrInvalidChange or ErrTooLarge. It is for an authority's log.
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

// Replace publishes a complete state and removes the names that the state lacks. Results and errors are those of
// Publish.
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

// publish gives a valid change the next index if it alters the entry's state, and reports whether it did.
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
