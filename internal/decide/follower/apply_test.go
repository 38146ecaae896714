package follower

import (
	"errors"
	"fmt"
	"testing"

	"harepass/internal/decide/versionlog"
)

func version(epoch, index int64) versionlog.Version {
	return versionlog.Version{Epoch: epoch, Index: index}
}

// A source answers with a slice that is older than the reader's version or that violates the protocol. Apply returns
// ErrBehind for the former and ErrInvalid for the latter, and the State does not change.
func TestRefusedAnswerChangesNothing(t *testing.T) {
	type slice = versionlog.Slice
	entries := func(list ...versionlog.Entry) []versionlog.Entry { return list }
	complete := slice{Version: version(7, 20), NewestIndex: 20, Snapshot: true,
		Entries: entries(entry("a", 3), entry("b", 20))}
	for what, tc := range map[string]struct {
		slice slice
		want  error
	}{
		"an older epoch's snapshot": {slice{Version: version(6, 90), NewestIndex: 90, Snapshot: true}, ErrBehind},
		"an older epoch's changes":  {slice{Version: version(6, 90), NewestIndex: 90}, ErrBehind},
		"an older snapshot":         {slice{Version: version(7, 19), NewestIndex: 19, Snapshot: true}, ErrBehind},
		"an older snapshot's first slice": {slice{Version: version(7, 3), NewestIndex: 19, Base: 19, Snapshot: true,
			Entries: entries(entry("a", 3))}, ErrBehind},
		"an older index": {slice{Version: version(7, 19), NewestIndex: 19}, ErrBehind},
		"a later epoch's changes": {slice{Version: version(8, 21), NewestIndex: 21,
			Entries: entries(entry("a", 21))}, ErrInvalid},
		"an entry that the reader has": {slice{Version: version(7, 22), NewestIndex: 22,
			Entries: entries(entry("b", 20))}, ErrInvalid},
		"entries out of order": {slice{Version: version(7, 23), NewestIndex: 23,
			Entries: entries(entry("c", 23), entry("d", 22))}, ErrInvalid},
		"a repeated name": {slice{Version: version(7, 23), NewestIndex: 23,
			Entries: entries(entry("c", 22), entry("c", 23))}, ErrInvalid},
		"an entry after the slice's version": {slice{Version: version(7, 21), NewestIndex: 21,
			Entries: entries(entry("c", 22))}, ErrInvalid},
		"an entry without a name": {slice{Version: version(7, 21), NewestIndex: 21,
			Entries: entries(entry("", 21))}, ErrInvalid},
		"a snapshot's later slice": {slice{Version: version(7, 21), NewestIndex: 30, Base: 30,
			Entries: entries(entry("c", 21))}, ErrInvalid},
		"an entry older than the reader's": {slice{Version: version(7, 25), NewestIndex: 25, Snapshot: true,
			Entries: entries(entry("b", 19), entry("d", 25))}, ErrInvalid},
	} {
		var s State
		if _, err := s.Apply(complete); err != nil {
			t.Fatal(err)
		}
		before, _ := s.Cursor()
		if _, err := s.Apply(tc.slice); !errors.Is(err, tc.want) {
			t.Errorf("%s: %v, want %v", what, err, tc.want)
		}
		if after, _ := s.Cursor(); after != before || !s.Complete() || s.Len() != 2 {
			t.Errorf("%s: reader changed to %+v with %d names, was at %+v with 2 names", what, after, s.Len(), before)
		}
	}
}

// A reader that has names of another epoch, or names that come from no source, gets a snapshot of two slices. The first
// slice removes no name, because the second may contain it. The second slice removes all names that neither contains.
func TestNamesThatSnapshotLacksAreRemovedWithItsLastSlice(t *testing.T) {
	var s State
	s.Seed([]string{"unlisted", "listed"})
	first := versionlog.Slice{Version: version(2, 4), NewestIndex: 9, Base: 9, Snapshot: true,
		Entries: []versionlog.Entry{entry("a", 4)}}
	c, err := s.Apply(first)
	if err != nil || len(c.MissingFromSnapshot) > 0 || s.Complete() || len(c.Entries) != 1 {
		t.Fatalf("first slice: %+v, %v", c, err)
	}
	last := versionlog.Slice{Version: version(2, 9), NewestIndex: 9, Entries: []versionlog.Entry{entry("listed", 9)}}
	c, err = s.Apply(last)
	if err != nil || fmt.Sprint(c.MissingFromSnapshot) != "[unlisted]" || !c.Complete || !c.SnapshotCompleted {
		t.Fatalf("last slice: %+v, %v", c, err)
	}
	first = versionlog.Slice{Version: version(3, 1), NewestIndex: 2, Base: 2, Snapshot: true,
		Entries: []versionlog.Entry{entry("b", 1)}}
	if c, err = s.Apply(first); err != nil || len(c.MissingFromSnapshot) > 0 || s.Complete() {
		t.Fatalf("a later epoch's first slice: %+v, %v", c, err)
	}
	last = versionlog.Slice{Version: version(3, 2), NewestIndex: 2, Entries: []versionlog.Entry{entry("a", 2)}}
	if c, err = s.Apply(last); err != nil || fmt.Sprint(c.MissingFromSnapshot) != "[listed]" || len(c.Entries) != 1 {
		t.Fatalf("a later epoch's last slice: %+v, %v", c, err)
	}
}

// A reader gets a second snapshot of the same epoch. Apply reports only the entries that have changed since the first.
func TestSnapshotReportsChangedEntriesOnly(t *testing.T) {
	var s State
	list := versionlog.Slice{Version: version(2, 9), NewestIndex: 9, Snapshot: true,
		Entries: []versionlog.Entry{entry("a", 4), entry("b", 9)}}
	if _, err := s.Apply(list); err != nil {
		t.Fatal(err)
	}
	list.Version.Index, list.NewestIndex, list.Entries = 10, 10, []versionlog.Entry{entry("a", 4), entry("b", 10)}
	if c, err := s.Apply(list); err != nil || len(c.Entries) != 1 || c.Entries[0].Name != "b" {
		t.Errorf("second snapshot: %+v, %v; want only entry b", c, err)
	}
}

// The discovery service has no epochs. It sends the complete list or changes, and numbers only the versions of the
// list. After a restart its index starts again, so the reader must apply its snapshot although the index is lower.
func TestServiceWithoutEpochs(t *testing.T) {
	r := &reader{state: State{AcceptAnySnapshot: true}, bodies: map[string]string{}}
	slice := func(index int64, snapshot bool, names ...string) versionlog.Slice {
		s := versionlog.Slice{Version: versionlog.Version{Index: index}, NewestIndex: index, Snapshot: snapshot}
		for _, name := range names {
			s.Entries = append(s.Entries, entry(name, index))
		}
		return s
	}
	for _, tc := range []struct {
		slice versionlog.Slice
		names int
	}{
		{slice(40, true, "a", "b"), 2},
		{slice(41, false, "c"), 3},
		{slice(41, false), 3},
		{slice(3, true, "a"), 1},
	} {
		if _, err := r.apply(tc.slice); err != nil || len(r.bodies) != tc.names || !r.state.Complete() {
			t.Errorf("after %+v: reader has %v, %v", tc.slice.Version, r.bodies, err)
		}
	}
	if _, err := r.apply(slice(2, false, "z")); !errors.Is(err, ErrBehind) {
		t.Errorf("changes of an older index: %v, want ErrBehind", err)
	}
}
