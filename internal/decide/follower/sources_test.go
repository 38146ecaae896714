package follower

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"harepass/internal/decide/versionlog"
)

// sliceBytes bounds the bodies of a slice, so that most snapshots take several slices.
const sliceBytes = 120

// sources is an authority, relays that each lag behind it by a random amount, and one reader of all of them.
type sources struct {
	*rapid.T
	authority    *versionlog.Log
	relays       []*versionlog.Log
	reader       *reader
	lastComplete versionlog.Version
	answers      []versionlog.Slice // all answers that the reader got
}

// publish publishes a few random changes.
func (s *sources) publish() {
	var changes []versionlog.Change
	for range rapid.IntRange(1, 4).Draw(s.T, "changes") {
		name := fmt.Sprint("n", rapid.IntRange(0, 12).Draw(s.T, "name"))
		removed := rapid.IntRange(0, 3).Draw(s.T, "removed") == 0
		changes = append(changes, versionlog.Change{Name: name, Removed: removed,
			Object: object(name, rapid.IntRange(0, 99).Draw(s.T, "value"))})
	}
	if _, err := s.authority.Publish(changes); err != nil {
		s.Fatal(err)
	}
}

// relay has a relay apply the authority's next slice.
func (s *sources) relay() {
	relay := s.relays[rapid.IntRange(0, 1).Draw(s.T, "relay")]
	if err := relay.Apply(s.authority.Read(relay.Cursor(), sliceBytes)); err != nil {
		s.Fatalf("relay: %v", err)
	}
}

// repeatOldAnswer gives a complete reader an earlier answer again. The reader may refuse it.
func (s *sources) repeatOldAnswer() {
	if len(s.answers) > 0 && s.reader.state.Complete() {
		s.reader.apply(s.answers[rapid.IntRange(0, len(s.answers)-1).Draw(s.T, "old")])
	}
}

// read gives the reader the next slice of any source that is not behind it.
func (s *sources) read() {
	log := append(s.relays, s.authority)[rapid.IntRange(0, 2).Draw(s.T, "source")]
	cursor, _ := s.reader.state.Cursor()
	if log.Empty() || log.Behind(cursor) {
		return
	}
	slice := log.Read(cursor, sliceBytes)
	s.answers = append(s.answers, slice)
	if _, err := s.reader.apply(slice); err != nil {
		s.Fatalf("reader at %+v refused an answer: %v", cursor, err)
	}
}

// hasAll reports whether the reader is complete at the authority's version.
func (s *sources) hasAll() bool {
	cursor, _ := s.reader.state.Cursor()
	return s.reader.state.Complete() && cursor.Version == s.authority.Version()
}

// check fails if a complete reader has gone back, or if its bodies differ from the authority's at the same version.
func (s *sources) check() {
	if cursor, _ := s.reader.state.Cursor(); s.reader.state.Complete() {
		if cursor.Before(s.lastComplete) {
			s.Fatalf("reader is complete at %+v after it was complete at %+v", cursor.Version, s.lastComplete)
		}
		s.lastComplete = cursor.Version
	}
	if s.hasAll() && !maps.Equal(s.reader.bodies, liveBodies(s.authority)) {
		s.Fatalf("reader has %v, authority has %v", s.reader.bodies, liveBodies(s.authority))
	}
}

// A reader changes between an authority and two relays that lag behind it. It gets small slices and, while it is
// complete, sometimes an old answer again. It never goes back, and whenever it is complete at the authority's version,
// its bodies equal the authority's.
func TestReaderOfSeveralSourcesNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const epoch = 5
		s := &sources{T: t, authority: versionlog.New(epoch, rapid.IntRange(0, 6).Draw(t, "tombstones")),
			relays: []*versionlog.Log{versionlog.New(0, 2), versionlog.New(0, 20)},
			reader: &reader{bodies: map[string]string{}}}
		if _, err := s.authority.Publish([]versionlog.Change{{Name: "first", Object: object("first", 0)}}); err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				s.publish()
			case 1:
				s.relay()
			case 2:
				s.repeatOldAnswer()
			default:
				s.read()
			}
			s.check()
		}
		for !s.hasAll() {
			cursor, _ := s.reader.state.Cursor()
			if _, err := s.reader.apply(s.authority.Read(cursor, sliceBytes)); err != nil {
				t.Fatal(err)
			}
		}
		if !maps.Equal(s.reader.bodies, liveBodies(s.authority)) {
			t.Fatalf("reader has %v, authority has %v", s.reader.bodies, liveBodies(s.authority))
		}
	})
}
