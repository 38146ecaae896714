package versionlog

import (
	"errors"
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

func object(name string, value int) []byte {
	return fmt.Appendf(nil, `{"name":%q,"status":"in_service","value":%d}`, name, value)
}

// state is a log's live entries by name, as they stand in answers.
func state(l *Log) map[string]string {
	bodies := map[string]string{}
	for name, entry := range l.byName {
		if !entry.Removed {
			bodies[name] = string(entry.Body)
		}
	}
	return bodies
}

// reader follows a log as a member does: entries count at once, and the last slice of a snapshot removes what no slice
// of it has held.
type reader struct {
	cursor  Cursor
	entries map[string]Entry
	held    map[string]bool // by the snapshot that is coming in
}

func (r *reader) take(t *rapid.T, slice Slice) {
	if slice.Version.Epoch < r.cursor.Epoch || slice.Version.Epoch == r.cursor.Epoch && !slice.Snapshot && slice.Version.Before(r.cursor.Version) {
		t.Fatalf("went back from %+v to %+v", r.cursor, slice.Version)
	}
	if slice.Snapshot {
		if slice.Version.Epoch != r.cursor.Epoch {
			for name, entry := range r.entries { // their indexes say nothing in this epoch
				entry.Index = 0
				r.entries[name] = entry
			}
		}
		r.held = map[string]bool{}
	}
	for _, entry := range slice.Entries {
		if old, known := r.entries[entry.Name]; known && entry.Index < old.Index {
			t.Fatalf("%s went back from %d to %d", entry.Name, old.Index, entry.Index)
		}
		r.entries[entry.Name] = entry
		if r.held != nil {
			r.held[entry.Name] = true
		}
	}
	if r.held != nil && slice.Base == 0 {
		maps.DeleteFunc(r.entries, func(name string, _ Entry) bool { return !r.held[name] })
		r.held = nil
	}
	r.cursor = r.cursor.After(slice)
}

// state drops tombstones, as a member does.
func (r *reader) state() map[string]string {
	bodies := map[string]string{}
	for name, entry := range r.entries {
		if !entry.Removed {
			bodies[name] = string(entry.Body)
		}
	}
	return bodies
}

// overWire is the slice after its way through the wire's form.
func overWire(t *rapid.T, slice Slice) Slice {
	parsed, err := ParseSlice(slice.AppendJSON(nil))
	if err != nil {
		t.Fatal(err)
	}
	if err := parsed.Check(); err != nil {
		t.Fatal(err)
	}
	if got, want := fmt.Sprintf("%+v", parsed), fmt.Sprintf("%+v", slice); len(slice.Entries) > 0 && got != want {
		t.Fatalf("read %s, written %s", got, want)
	}
	return parsed
}

// Whatever is published, removed and forgotten between bounded reads, by an authority that may start anew: readers of the
// authority and of two relays in a chain, that move between them, never go back, have exactly the authority's state of a
// version whenever that is whole, and each that reads on ends with the authority's last state.
func TestReadersEndWithTheState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		remembered := rapid.IntRange(0, 4).Draw(t, "remembered")
		epoch, value := int64(1), 0
		logs := []*Log{New(epoch, remembered), New(0, remembered), New(0, remembered)}
		published := map[Version]string{} // the authority's state at each version
		readers := []*reader{{entries: map[string]Entry{}}, {entries: map[string]Entry{}}}
		names := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", "h"})
		size := rapid.IntRange(1, 400)
		follow := func(relay int, from *Log, bytes int) {
			cursor := logs[relay].Cursor()
			if from.Empty() || from.Behind(cursor) {
				return
			}
			if err := logs[relay].Apply(overWire(t, from.Read(cursor, bytes))); err != nil {
				t.Fatal(err)
			}
		}
		read := func(r *reader, from *Log, bytes int) {
			if !from.Empty() && !from.Behind(r.cursor) {
				r.take(t, overWire(t, from.Read(r.cursor, bytes)))
				if want := published[r.cursor.Version]; r.cursor.Complete() && fmt.Sprint(r.state()) != want {
					t.Fatalf("at %+v the reader has %v, the authority had %s", r.cursor, r.state(), want)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				var changes []Change
				for range rapid.IntRange(1, 5).Draw(t, "changes") {
					value++
					name := names.Draw(t, "name")
					changes = append(changes, Change{Name: name, Removed: rapid.Bool().Draw(t, "removed"), Object: object(name, value%3)})
				}
				if _, err := logs[0].Publish(changes); err != nil {
					t.Fatal(err)
				}
				published[logs[0].Head()] = fmt.Sprint(state(logs[0]))
			},
			"new authority": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
					epoch++
					logs[0] = New(epoch, remembered)
				}
			},
			"follow": func(t *rapid.T) {
				relay := rapid.IntRange(1, 2).Draw(t, "relay")
				source := rapid.IntRange(0, relay-1).Draw(t, "source")
				follow(relay, logs[source], size.Draw(t, "bytes"))
			},
			"lost source": func(t *rapid.T) { logs[rapid.IntRange(1, 2).Draw(t, "relay")].AbortSnapshot() },
			"read": func(t *rapid.T) {
				read(readers[rapid.IntRange(0, 1).Draw(t, "reader")], logs[rapid.IntRange(0, 2).Draw(t, "source")], size.Draw(t, "bytes"))
			},
		})
		if logs[0].Empty() {
			if _, err := logs[0].Publish([]Change{{Name: "a", Object: object("a", 0)}}); err != nil {
				t.Fatal(err)
			}
			published[logs[0].Head()] = fmt.Sprint(state(logs[0]))
		}
		for relay := 1; relay < len(logs); relay++ {
			for logs[relay].Head() != logs[0].Head() {
				follow(relay, logs[relay-1], 100)
			}
			if got, want := fmt.Sprint(state(logs[relay])), fmt.Sprint(state(logs[0])); got != want {
				t.Fatalf("relay %d has %s, the authority %s", relay, got, want)
			}
		}
		for i, r := range readers {
			for r.cursor.Version != logs[0].Head() || !r.cursor.Complete() {
				read(r, logs[2-i], 100)
			}
			if got, want := fmt.Sprint(r.state()), fmt.Sprint(state(logs[0])); got != want {
				t.Fatalf("reader %d has %s, the authority %s", i, got, want)
			}
		}
	})
}

// A change that is none takes no index, several of a name take one, and a removed name comes back as a change.
func TestPublish(t *testing.T) {
	l := New(7, 10)
	for i, step := range []struct {
		changes   []Change
		published int
		index     int64
	}{
		{[]Change{{Name: "a", Object: object("a", 1)}, {Name: "b", Object: object("b", 1)}}, 2, 2},
		{[]Change{{Name: "a", Object: object("a", 1)}}, 0, 2},
		{[]Change{{Name: "a", Object: object("a", 2)}, {Name: "a", Object: object("a", 3)}}, 1, 3},
		{[]Change{{Name: "a", Removed: true}, {Name: "a", Object: object("a", 3)}}, 0, 3},
		{[]Change{{Name: "c", Removed: true}}, 0, 3},
		{[]Change{{Name: "b", Removed: true}}, 1, 4},
		{[]Change{{Name: "b", Removed: true}}, 0, 4},
		{[]Change{{Name: "b", Object: object("b", 1)}}, 1, 5},
	} {
		n, err := l.Publish(step.changes)
		if n != step.published || err != nil || l.Head() != (Version{7, step.index}) {
			t.Errorf("step %d: %d published, %v, head %+v", i, n, err, l.Head())
		}
	}
	if entries, bytes := l.Live(); entries != 2 || bytes != len(versioned(object("a", 3), 3))+len(versioned(object("b", 1), 5)) {
		t.Errorf("%d live entries of %d bytes", entries, bytes)
	}
	whole := []Change{{Name: "a", Object: object("a", 3)}, {Name: "d", Object: object("d", 1)}}
	for _, published := range []int{2, 0} { // b goes and d comes
		if n, err := l.Replace(whole); n != published || err != nil || l.Head() != (Version{7, 7}) || state(l)["b"] != "" {
			t.Errorf("%d of a whole state published, %v, head %+v", n, err, l.Head())
		}
	}
	for _, bad := range []Change{{Object: object("", 1)}, {Name: "x", Object: []byte(`{"name":`)}, {Name: "x", Object: []byte(`[]`)},
		{Name: "x", Object: fmt.Appendf(nil, `{"name":"x","text":"%0*d"}`, MaxEntryBytes, 1)}} {
		if _, err := l.Publish([]Change{{Name: "a", Object: object("a", 9)}, bad}); err == nil || l.Head().Index != 7 {
			t.Errorf("%.40q was published: %v", bad.Object, err)
		}
	}
}

// A log is behind readers that have, or were told of, what it has not heard of.
func TestBehind(t *testing.T) {
	relay := New(0, 10)
	partly := Slice{Version: Version{5, 20}, Head: 30, Snapshot: true, Entries: []Entry{{Name: "a", Index: 20, Body: object("a", 1)}}}
	if err := relay.Apply(partly); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		from Cursor
		want bool
	}{
		{Cursor{}, false},
		{Cursor{Version: Version{4, 99}, Base: 99, Head: 99}, false},
		{Cursor{Version: Version{5, 20}, Head: 30}, false}, // the rest is on its way
		{Cursor{Version: Version{5, 20}, Head: 31}, true},
		{Cursor{Version: Version{5, 21}}, true},
		{Cursor{Version: Version{5, 3}, Base: 21}, true},
		{Cursor{Version: Version{6, 1}}, true},
	} {
		if got := relay.Behind(c.from); got != c.want {
			t.Errorf("behind %+v: %t", c.from, got)
		}
	}
	if slice := relay.Read(Cursor{Version: Version{5, 20}, Head: 30}, 100); !slice.More() || len(slice.Entries) != 0 {
		t.Errorf("a reader that has what the relay has gets %+v", slice)
	}
}

// A relay takes over nothing that is older than what it has, out of order, or no part of what it is reading, and keeps
// what it has.
func TestApplyRefuses(t *testing.T) {
	entry := func(name string, index int64) Entry {
		return Entry{Name: name, Index: index, Body: versioned(object(name, 1), index)}
	}
	relay := New(0, 10)
	whole := Slice{Version: Version{5, 20}, Head: 20, Snapshot: true, Entries: []Entry{entry("a", 3), entry("b", 20)}}
	if err := relay.Apply(Slice{Version: Version{5, 20}, Head: 20}); !errors.Is(err, ErrMismatch) {
		t.Errorf("changes before any snapshot: %v", err)
	}
	if err := relay.Apply(whole); err != nil {
		t.Fatal(err)
	}
	begun := Slice{Version: Version{6, 4}, Head: 9, Base: 9, Snapshot: true, Entries: []Entry{entry("a", 4)}}
	for _, c := range []struct {
		what   string
		before []Slice // taken over first
		slice  Slice
		want   error
	}{
		{"older index", nil, Slice{Version: Version{5, 19}, Head: 20}, ErrOlder},
		{"older epoch", nil, Slice{Version: Version{4, 90}, Head: 90}, ErrOlder},
		{"snapshot of an older epoch", nil, Slice{Version: Version{4, 90}, Head: 90, Snapshot: true}, ErrOlder},
		{"snapshot of an older index", nil, Slice{Version: Version{5, 19}, Head: 19, Snapshot: true}, ErrOlder},
		{"snapshot whose base is older", nil, Slice{Version: Version{5, 2}, Head: 19, Base: 19, Snapshot: true}, ErrOlder},
		{"replayed entry", nil, Slice{Version: Version{5, 22}, Head: 22, Entries: []Entry{entry("a", 20), entry("b", 22)}}, ErrOlder},
		{"changes of a newer epoch", nil, Slice{Version: Version{6, 22}, Head: 22}, ErrMismatch},
		{"a snapshot's slice without its beginning", nil, Slice{Version: Version{5, 22}, Head: 30, Base: 30}, ErrMismatch},
		{"entries out of order", nil, Slice{Version: Version{5, 25}, Head: 25, Entries: []Entry{entry("a", 24), entry("b", 22)}}, ErrInvalid},
		{"a name twice", nil, Slice{Version: Version{5, 25}, Head: 25, Entries: []Entry{entry("a", 24), entry("a", 25)}}, ErrInvalid},
		{"an entry over the version", nil, Slice{Version: Version{5, 25}, Head: 40, Entries: []Entry{entry("a", 26)}}, ErrInvalid},
		{"a version over the head", nil, Slice{Version: Version{5, 25}, Head: 24}, ErrInvalid},
		{"an oversized entry", nil, Slice{Version: Version{5, 25}, Head: 25, Entries: []Entry{{Name: "a", Index: 25, Body: make([]byte, MaxEntryBytes+1)}}}, ErrInvalid},
		{"no version", nil, Slice{Entries: []Entry{entry("a", 25)}}, ErrInvalid},
		{"another base", []Slice{begun}, Slice{Version: Version{6, 6}, Head: 9, Base: 8}, ErrMismatch},
		{"another epoch within", []Slice{begun}, Slice{Version: Version{5, 21}, Head: 21}, ErrMismatch},
		{"an end before the base", []Slice{begun}, Slice{Version: Version{6, 6}, Head: 9}, ErrMismatch},
		{"a slice again", []Slice{begun, {Version: Version{6, 6}, Head: 9, Base: 9, Entries: []Entry{entry("b", 6)}}},
			Slice{Version: Version{6, 6}, Head: 9, Base: 9, Entries: []Entry{entry("b", 6)}}, ErrOlder},
	} {
		for _, slice := range c.before {
			if err := relay.Apply(slice); err != nil {
				t.Fatalf("%s: %v", c.what, err)
			}
		}
		if err := relay.Apply(c.slice); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.what, err, c.want)
		}
		if relay.Head() != whole.Version || relay.Cursor() != (Cursor{Version: whole.Version, Head: whole.Head}) || len(state(relay)) != 2 {
			t.Fatalf("%s: the relay is at %+v with %v", c.what, relay.Cursor(), state(relay))
		}
	}
}

func TestParseRefuses(t *testing.T) {
	for _, text := range []string{``, `{`, `[]`, `{"epoch":"1"}`, `{"epoch":1,"index":5,"head":7,"more":false,"endpoints":[]}`,
		`{"epoch":1,"index":7,"head":7,"endpoints":[5]}`, `{"epoch":1,"index":7,"head":7,"endpoints":[{"version":7}]}`,
		`{"epoch":1,"index":7,"head":7,"endpoints":[{"name":"a","version":7.5}]}`, `{"epoch":1,"index":7,"head":7,"endpoints":[]}x`} {
		if slice, err := ParseSlice([]byte(text)); err == nil {
			t.Errorf("%s was read as %+v", text, slice)
		}
	}
}
