package versionlog

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// reader follows a log as a coordinator does: it applies entries at once, and the last slice of a snapshot removes the
// names that no slice of the snapshot contains.
type reader struct {
	cursor   Cursor
	entries  map[string]Entry
	snapshot map[string]bool // names in the snapshot in progress; nil if there is none
}

// apply applies a slice, and fails if the slice or an entry goes back.
func (r *reader) apply(t *rapid.T, slice Slice) {
	older := slice.Version.Epoch == r.cursor.Epoch && !slice.Snapshot && slice.Version.Before(r.cursor.Version)
	if slice.Version.Epoch < r.cursor.Epoch || older {
		t.Fatalf("reader goes back from %+v to %+v", r.cursor, slice.Version)
	}
	if slice.Snapshot {
		r.beginSnapshot(slice.Version.Epoch)
	}
	for _, entry := range slice.Entries {
		if old, known := r.entries[entry.Name]; known && entry.Index < old.Index {
			t.Fatalf("entry %s goes back from index %d to %d", entry.Name, old.Index, entry.Index)
		}
		r.entries[entry.Name] = entry
		if r.snapshot != nil {
			r.snapshot[entry.Name] = true
		}
	}
	if r.snapshot != nil && slice.Base == 0 {
		maps.DeleteFunc(r.entries, func(name string, _ Entry) bool { return !r.snapshot[name] })
		r.snapshot = nil
	}
	r.cursor = r.cursor.After(slice)
}

// beginSnapshot resets the indexes of entries of another epoch, because they cannot be compared with indexes of this
// one.
func (r *reader) beginSnapshot(epoch int64) {
	if epoch != r.cursor.Epoch {
		for name, entry := range r.entries {
			entry.Index = 0
			r.entries[name] = entry
		}
	}
	r.snapshot = map[string]bool{}
}

// overWire returns the slice as a reader parses it from the wire.
func overWire(t *rapid.T, slice Slice) Slice {
	parsed, err := ParseSlice(slice.AppendJSON(nil))
	if err != nil {
		t.Fatal(err)
	}
	if err := parsed.Check(); err != nil {
		t.Fatal(err)
	}
	if got, want := fmt.Sprintf("%+v", parsed), fmt.Sprintf("%+v", slice); len(slice.Entries) > 0 && got != want {
		t.Fatalf("parsed %s, want %s", got, want)
	}
	return parsed
}

// chain is an authority, two relays that each follow a log before it in logs, and two readers that may read any log.
type chain struct {
	*rapid.T
	tombstones int
	epoch      int64
	value      int    // value of the last change
	logs       []*Log // the authority's log, then the relays'
	readers    []*reader
	published  map[Version]string // the authority's live bodies at each version
}

func newChain(t *rapid.T) *chain {
	c := &chain{T: t, tombstones: rapid.IntRange(0, 4).Draw(t, "tombstones"), epoch: 1, published: map[Version]string{}}
	c.logs = []*Log{New(c.epoch, c.tombstones), New(0, c.tombstones), New(0, c.tombstones)}
	c.readers = []*reader{{entries: map[string]Entry{}}, {entries: map[string]Entry{}}}
	return c
}

// publish publishes changes at the authority.
func (c *chain) publish(changes []Change) {
	if _, err := c.logs[0].Publish(changes); err != nil {
		c.Fatal(err)
	}
	c.published[c.logs[0].Version()] = fmt.Sprint(liveBodies(c.logs[0].byName))
}

// publishRandom publishes a few random changes.
func (c *chain) publishRandom(t *rapid.T) {
	names := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", "h"})
	var changes []Change
	for range rapid.IntRange(1, 5).Draw(t, "changes") {
		c.value++
		name := names.Draw(t, "name")
		removed := rapid.Bool().Draw(t, "removed")
		changes = append(changes, Change{Name: name, Removed: removed, Object: object(name, c.value%3)})
	}
	c.publish(changes)
}

// replaceAuthority replaces the authority by a new one without entries, on average once in ten calls.
func (c *chain) replaceAuthority(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
		c.epoch++
		c.logs[0] = New(c.epoch, c.tombstones)
	}
}

// relay has a relay apply the next slice of a source, unless the source is behind it.
func (c *chain) relay(relay, source, bytes int) {
	from, cursor := c.logs[source], c.logs[relay].Cursor()
	if from.Empty() || from.Behind(cursor) {
		return
	}
	if err := c.logs[relay].Apply(overWire(c.T, from.Read(cursor, bytes))); err != nil {
		c.Fatal(err)
	}
}

// read gives a reader the next slice of a log, unless the log is behind it. If the reader is complete then, it must
// have what the authority had at that version.
func (c *chain) read(r *reader, from *Log, bytes int) {
	if from.Empty() || from.Behind(r.cursor) {
		return
	}
	r.apply(c.T, overWire(c.T, from.Read(r.cursor, bytes)))
	got, want := fmt.Sprint(liveBodies(r.entries)), c.published[r.cursor.Version]
	if r.cursor.Complete() && got != want {
		c.Fatalf("at %+v: reader has %s, authority had %s", r.cursor, got, want)
	}
}

// finish has relays and readers read until they are at the authority's version, and checks that they have its state.
func (c *chain) finish() {
	const bytes = 100
	if c.logs[0].Empty() {
		c.publish([]Change{{Name: "a", Object: object("a", 0)}})
	}
	want := fmt.Sprint(liveBodies(c.logs[0].byName))
	for relay := 1; relay < len(c.logs); relay++ {
		for c.logs[relay].Version() != c.logs[0].Version() {
			c.relay(relay, relay-1, bytes)
		}
		if got := fmt.Sprint(liveBodies(c.logs[relay].byName)); got != want {
			c.Fatalf("relay %d has %s, authority has %s", relay, got, want)
		}
	}
	for i, r := range c.readers {
		for r.cursor.Version != c.logs[0].Version() || !r.cursor.Complete() {
			c.read(r, c.logs[2-i], bytes)
		}
		if got := fmt.Sprint(liveBodies(r.entries)); got != want {
			c.Fatalf("reader %d has %s, authority has %s", i, got, want)
		}
	}
}

// Between reads of bounded size, an authority publishes and removes entries, logs forget tombstones, relays lose their
// sources within a snapshot, and a new authority may replace the old one. Readers change between the authority and two
// relays in a chain. They never go back, and whenever they are complete at a version they have exactly the authority's
// state of that version. After enough reads they have its last state.
func TestReadersEndWithAuthoritysState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newChain(t)
		size := rapid.IntRange(1, 400)
		t.Repeat(map[string]func(*rapid.T){
			"publish":       c.publishRandom,
			"new authority": c.replaceAuthority,
			"relay": func(t *rapid.T) {
				relay := rapid.IntRange(1, 2).Draw(t, "relay")
				source := rapid.IntRange(0, relay-1).Draw(t, "source")
				c.relay(relay, source, size.Draw(t, "bytes"))
			},
			"lost source": func(t *rapid.T) { c.logs[rapid.IntRange(1, 2).Draw(t, "relay")].AbortSnapshot() },
			"read": func(t *rapid.T) {
				r := c.readers[rapid.IntRange(0, 1).Draw(t, "reader")]
				c.read(r, c.logs[rapid.IntRange(0, 2).Draw(t, "source")], size.Draw(t, "bytes"))
			},
		})
		c.finish()
	})
}

// A log is behind a reader that has a version which the log lacks, or that knows of an index which the log neither has
// nor has been announced.
func TestLogIsBehindReaderThatKnowsMore(t *testing.T) {
	relay := New(0, 10)
	partial := Slice{Version: Version{5, 20}, NewestIndex: 30, Snapshot: true,
		Entries: []Entry{{Name: "a", Index: 20, Body: object("a", 1)}}}
	if err := relay.Apply(partial); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		from Cursor
		want bool
	}{
		{Cursor{}, false},
		{Cursor{Version: Version{4, 99}, Base: 99, NewestIndex: 99}, false},
		{Cursor{Version: Version{5, 20}, NewestIndex: 30}, false}, // announced to the relay
		{Cursor{Version: Version{5, 20}, NewestIndex: 31}, true},
		{Cursor{Version: Version{5, 21}}, true},
		{Cursor{Version: Version{5, 3}, Base: 21}, true},
		{Cursor{Version: Version{6, 1}}, true},
	} {
		if got := relay.Behind(c.from); got != c.want {
			t.Errorf("log behind a reader at %+v: %t, want the opposite", c.from, got)
		}
	}
	slice := relay.Read(Cursor{Version: Version{5, 20}, NewestIndex: 30}, 100)
	if !slice.More() || len(slice.Entries) != 0 {
		t.Errorf("reader at the relay's version gets %+v, want an empty slice with More", slice)
	}
}
