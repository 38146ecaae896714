package versionlog

import (
	"errors"
	"testing"
)

// A relay gets slices, from one source or several in turn, that are older than its log, out of order, or not part of
// what it is reading. The relay refuses them and its log does not change.
func TestApplyRefusesWhatDoesNotFollow(t *testing.T) {
	relay := New(0, 10)
	complete := Slice{Version: Version{5, 20}, NewestIndex: 20, Snapshot: true,
		Entries: []Entry{entryAt("a", 3), entryAt("b", 20)}}
	if err := relay.Apply(Slice{Version: Version{5, 20}, NewestIndex: 20}); !errors.Is(err, ErrMismatch) {
		t.Errorf("changes before any snapshot: %v", err)
	}
	if err := relay.Apply(complete); err != nil {
		t.Fatal(err)
	}
	for _, c := range refusedSlices() {
		for _, slice := range c.before {
			if err := relay.Apply(slice); err != nil {
				t.Fatalf("%s: %v", c.what, err)
			}
		}
		if err := relay.Apply(c.slice); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.what, err, c.want)
		}
		atEnd := Cursor{Version: complete.Version, NewestIndex: complete.NewestIndex}
		if relay.Version() != complete.Version || relay.Cursor() != atEnd ||
			len(liveBodies(relay.byName)) != 2 {
			t.Fatalf("%s: relay changed to %+v with %v", c.what, relay.Cursor(), liveBodies(relay.byName))
		}
	}
}

// refusedSlice is a slice that a relay at index 20 of epoch 5 refuses after it has applied the slices in before.
type refusedSlice struct {
	what   string
	before []Slice
	slice  Slice
	want   error
}

func refusedSlices() []refusedSlice {
	begun := Slice{Version: Version{6, 4}, NewestIndex: 9, Base: 9, Snapshot: true, Entries: []Entry{entryAt("a", 4)}}
	continued := Slice{Version: Version{6, 6}, NewestIndex: 9, Base: 9, Entries: []Entry{entryAt("b", 6)}}
	changes := func(index, newest int64, entries ...Entry) Slice {
		return Slice{Version: Version{5, index}, NewestIndex: newest, Entries: entries}
	}
	oversized := Entry{Name: "a", Index: 25, Body: make([]byte, MaxEntryBytes+1)}
	return []refusedSlice{
		{"older index", nil, changes(19, 20), ErrOlder},
		{"older epoch", nil, Slice{Version: Version{4, 90}, NewestIndex: 90}, ErrOlder},
		{"snapshot of an older epoch", nil, Slice{Version: Version{4, 90}, NewestIndex: 90, Snapshot: true}, ErrOlder},
		{"snapshot of an older index", nil, Slice{Version: Version{5, 19}, NewestIndex: 19, Snapshot: true}, ErrOlder},
		{"snapshot whose base is older", nil,
			Slice{Version: Version{5, 2}, NewestIndex: 19, Base: 19, Snapshot: true}, ErrOlder},
		{"repeated entry", nil, changes(22, 22, entryAt("a", 20), entryAt("b", 22)), ErrOlder},
		{"changes of a newer epoch", nil, Slice{Version: Version{6, 22}, NewestIndex: 22}, ErrMismatch},
		{"a later slice of a snapshot without its first", nil,
			Slice{Version: Version{5, 22}, NewestIndex: 30, Base: 30}, ErrMismatch},
		{"entries out of order", nil, changes(25, 25, entryAt("a", 24), entryAt("b", 22)), ErrInvalid},
		{"a repeated name", nil, changes(25, 25, entryAt("a", 24), entryAt("a", 25)), ErrInvalid},
		{"an entry above the slice's version", nil, changes(25, 40, entryAt("a", 26)), ErrInvalid},
		{"a version above the newest index", nil, changes(25, 24), ErrInvalid},
		{"an oversized entry", nil, changes(25, 25, oversized), ErrInvalid},
		{"no version", nil, Slice{Entries: []Entry{entryAt("a", 25)}}, ErrInvalid},
		{"another base within", []Slice{begun}, Slice{Version: Version{6, 6}, NewestIndex: 9, Base: 8}, ErrMismatch},
		{"another epoch within", []Slice{begun}, changes(21, 21), ErrMismatch},
		{"an end before the base", []Slice{begun}, Slice{Version: Version{6, 6}, NewestIndex: 9}, ErrMismatch},
		{"a repeated slice", []Slice{begun, continued}, continued, ErrOlder},
	}
}
