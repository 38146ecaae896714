package follower

import (
	"errors"
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"harepass/internal/decide/versionlog"
)

// object is an entry's body.
func object(name string, value int) []byte {
	return fmt.Appendf(nil, `{"name":%q,"status":"in_service","value":%d}`, name, value)
}

// holder is a consumer: what it holds by name is what the replica's changes made of it.
type holder struct {
	state State
	held  map[string]string
}

func (h *holder) take(slice versionlog.Slice) (Change, error) {
	c, err := h.state.Apply(slice)
	for _, e := range c.Entries {
		if h.held[e.Name] = string(e.Body); e.Removed {
			delete(h.held, e.Name)
		}
	}
	for _, name := range c.Removed {
		delete(h.held, name)
	}
	return c, err
}

// live is what an authority's log holds.
func live(log *versionlog.Log) map[string]string {
	all := map[string]string{}
	for cursor := (versionlog.Cursor{}); !log.Empty(); {
		slice := log.Read(cursor, 1<<20)
		for _, e := range slice.Entries {
			if all[e.Name] = string(e.Body); e.Removed {
				delete(all, e.Name)
			}
		}
		if cursor = cursor.After(slice); cursor.Complete() {
			return all
		}
	}
	return all
}

// change publishes a few changes at random.
func change(t *rapid.T, log *versionlog.Log) {
	var changes []versionlog.Change
	for range rapid.IntRange(1, 4).Draw(t, "changes") {
		name := fmt.Sprint("n", rapid.IntRange(0, 12).Draw(t, "name"))
		removed := rapid.IntRange(0, 3).Draw(t, "removed") == 0
		changes = append(changes, versionlog.Change{Name: name, Removed: removed, Object: object(name, rapid.IntRange(0, 99).Draw(t, "value"))})
	}
	if _, err := log.Publish(changes); err != nil {
		t.Fatal(err)
	}
}

// A reader of several sources, each somewhere behind the authority, that is answered in small slices and, once it is whole, at times
// with an old answer once more, never goes back, and holds what the authority holds once it is whole there.
func TestReplicaFollows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const epoch = 5
		authority := versionlog.New(epoch, rapid.IntRange(0, 6).Draw(t, "tombstones"))
		if _, err := authority.Publish([]versionlog.Change{{Name: "first", Object: object("first", 0)}}); err != nil {
			t.Fatal(err)
		}
		relays := []*versionlog.Log{versionlog.New(0, 2), versionlog.New(0, 20)}
		h := &holder{held: map[string]string{}}
		var last versionlog.Version // whole
		var old []versionlog.Slice
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				change(t, authority)
			case 1:
				relay := relays[rapid.IntRange(0, 1).Draw(t, "relay")]
				if err := relay.Apply(authority.Read(relay.Cursor(), 120)); err != nil {
					t.Fatalf("relay: %v", err)
				}
			case 2:
				if len(old) > 0 && h.state.Complete() {
					h.take(old[rapid.IntRange(0, len(old)-1).Draw(t, "old")])
				}
			default:
				log := append(relays, authority)[rapid.IntRange(0, 2).Draw(t, "source")]
				cursor, _ := h.state.Cursor()
				if log.Empty() || log.Behind(cursor) {
					continue
				}
				slice := log.Read(cursor, 120)
				old = append(old, slice)
				if _, err := h.take(slice); err != nil {
					t.Fatalf("an answer to %+v is refused: %v", cursor, err)
				}
			}
			if h.state.Complete() {
				cursor, _ := h.state.Cursor()
				if cursor.Before(last) {
					t.Fatalf("whole at %+v after %+v", cursor.Version, last)
				}
				last = cursor.Version
			}
			if cursor, _ := h.state.Cursor(); h.state.Complete() && cursor.Version == authority.Head() && !maps.Equal(h.held, live(authority)) {
				t.Fatalf("it holds %v, the authority %v", h.held, live(authority))
			}
		}
		for {
			cursor, _ := h.state.Cursor()
			if h.state.Complete() && cursor.Version == authority.Head() {
				break
			}
			if _, err := h.take(authority.Read(cursor, 120)); err != nil {
				t.Fatal(err)
			}
		}
		if !maps.Equal(h.held, live(authority)) {
			t.Fatalf("it holds %v, the authority %v", h.held, live(authority))
		}
	})
}

// entry is one of some index.
func entry(name string, index int64) versionlog.Entry {
	return versionlog.Entry{Name: name, Index: index, Body: object(name, int(index))}
}

// What may not be taken changes nothing.
func TestRefused(t *testing.T) {
	version := func(epoch, index int64) versionlog.Version { return versionlog.Version{Epoch: epoch, Index: index} }
	whole := versionlog.Slice{Version: version(7, 20), Head: 20, Snapshot: true, Entries: []versionlog.Entry{entry("a", 3), entry("b", 20)}}
	for what, tc := range map[string]struct {
		slice versionlog.Slice
		want  error
	}{
		"an older epoch's snapshot": {versionlog.Slice{Version: version(6, 90), Head: 90, Snapshot: true}, ErrBehind},
		"an older epoch's changes":  {versionlog.Slice{Version: version(6, 90), Head: 90}, ErrBehind},
		"an older snapshot":         {versionlog.Slice{Version: version(7, 19), Head: 19, Snapshot: true}, ErrBehind},
		"an older snapshot's first slice": {versionlog.Slice{Version: version(7, 3), Head: 19, Base: 19, Snapshot: true,
			Entries: []versionlog.Entry{entry("a", 3)}}, ErrBehind},
		"an older index":           {versionlog.Slice{Version: version(7, 19), Head: 19}, ErrBehind},
		"a later epoch's changes":  {versionlog.Slice{Version: version(8, 21), Head: 21, Entries: []versionlog.Entry{entry("a", 21)}}, ErrInvalid},
		"an entry that it has":     {versionlog.Slice{Version: version(7, 22), Head: 22, Entries: []versionlog.Entry{entry("b", 20)}}, ErrInvalid},
		"entries out of order":     {versionlog.Slice{Version: version(7, 23), Head: 23, Entries: []versionlog.Entry{entry("c", 23), entry("d", 22)}}, ErrInvalid},
		"a name twice":             {versionlog.Slice{Version: version(7, 23), Head: 23, Entries: []versionlog.Entry{entry("c", 22), entry("c", 23)}}, ErrInvalid},
		"an entry past the index":  {versionlog.Slice{Version: version(7, 21), Head: 21, Entries: []versionlog.Entry{entry("c", 22)}}, ErrInvalid},
		"an entry without a name":  {versionlog.Slice{Version: version(7, 21), Head: 21, Entries: []versionlog.Entry{entry("", 21)}}, ErrInvalid},
		"a snapshot's later slice": {versionlog.Slice{Version: version(7, 21), Head: 30, Base: 30, Entries: []versionlog.Entry{entry("c", 21)}}, ErrInvalid},
		"an entry that goes back": {versionlog.Slice{Version: version(7, 25), Head: 25, Snapshot: true,
			Entries: []versionlog.Entry{entry("b", 19), entry("d", 25)}}, ErrInvalid},
	} {
		var s State
		if _, err := s.Apply(whole); err != nil {
			t.Fatal(err)
		}
		before, _ := s.Cursor()
		if _, err := s.Apply(tc.slice); !errors.Is(err, tc.want) {
			t.Errorf("%s: %v, want %v", what, err, tc.want)
		}
		if after, _ := s.Cursor(); after != before || !s.Complete() || s.Len() != 2 {
			t.Errorf("%s: the replica is at %+v with %d names, was at %+v", what, after, s.Len(), before)
		}
	}
}

// Half a snapshot makes no name gone, neither names of another epoch nor those that the reader had from elsewhere; the
// last slice does, with all of them at once.
func TestGoneAtTheEnd(t *testing.T) {
	var s State
	s.Seed([]string{"known", "kept"})
	first := versionlog.Slice{Version: versionlog.Version{Epoch: 2, Index: 4}, Head: 9, Base: 9, Snapshot: true, Entries: []versionlog.Entry{entry("a", 4)}}
	c, err := s.Apply(first)
	if err != nil || len(c.Removed) > 0 || s.Complete() || len(c.Entries) != 1 {
		t.Fatalf("half: %+v, %v", c, err)
	}
	last := versionlog.Slice{Version: versionlog.Version{Epoch: 2, Index: 9}, Head: 9, Entries: []versionlog.Entry{entry("kept", 9)}}
	if c, err = s.Apply(last); err != nil || fmt.Sprint(c.Removed) != "[known]" || !c.Complete || !c.Completed {
		t.Fatalf("whole: %+v, %v", c, err)
	}
	half := versionlog.Slice{Version: versionlog.Version{Epoch: 3, Index: 1}, Head: 2, Base: 2, Snapshot: true, Entries: []versionlog.Entry{entry("b", 1)}}
	if c, err = s.Apply(half); err != nil || len(c.Removed) > 0 || s.Complete() {
		t.Fatalf("a later epoch: %+v, %v", c, err)
	}
	end := versionlog.Slice{Version: versionlog.Version{Epoch: 3, Index: 2}, Head: 2, Entries: []versionlog.Entry{entry("a", 2)}}
	if c, err = s.Apply(end); err != nil || fmt.Sprint(c.Removed) != "[kept]" || len(c.Entries) != 1 {
		t.Fatalf("a later epoch's end: %+v, %v", c, err)
	}
}

// Of a snapshot in the same epoch only what has changed is news.
func TestUnchangedIsNoNews(t *testing.T) {
	var s State
	list := versionlog.Slice{Version: versionlog.Version{Epoch: 2, Index: 9}, Head: 9, Snapshot: true, Entries: []versionlog.Entry{entry("a", 4), entry("b", 9)}}
	if _, err := s.Apply(list); err != nil {
		t.Fatal(err)
	}
	list.Version.Index, list.Head, list.Entries = 10, 10, []versionlog.Entry{entry("a", 4), entry("b", 10)}
	if c, err := s.Apply(list); err != nil || len(c.Entries) != 1 || c.Entries[0].Name != "b" {
		t.Errorf("%+v, %v", c, err)
	}
}

// A service without epochs tells of the whole list or of changes, in versions of the list alone.
func TestWithoutEpochs(t *testing.T) {
	h := &holder{state: State{AcceptAnySnapshot: true}, held: map[string]string{}}
	plain := func(index int64, snapshot bool, names ...string) versionlog.Slice {
		s := versionlog.Slice{Version: versionlog.Version{Index: index}, Head: index, Snapshot: snapshot}
		for _, name := range names {
			s.Entries = append(s.Entries, entry(name, index))
		}
		return s
	}
	for _, tc := range []struct {
		slice versionlog.Slice
		names int
	}{{plain(40, true, "a", "b"), 2}, {plain(41, false, "c"), 3}, {plain(41, false), 3}, {plain(3, true, "a"), 1}} {
		if _, err := h.take(tc.slice); err != nil || len(h.held) != tc.names || !h.state.Complete() {
			t.Errorf("after %+v: %v, %v", tc.slice.Version, h.held, err)
		}
	}
	if _, err := h.take(plain(2, false, "z")); !errors.Is(err, ErrBehind) {
		t.Errorf("changes that go back: %v", err)
	}
}
