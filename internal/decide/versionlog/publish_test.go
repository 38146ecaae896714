package versionlog

import (
	"errors"
	"fmt"
	"testing"
)

// A change that does not alter its entry gets no index. Several changes of one name get one index. Publishing a removed
// name again is a change.
func TestPublishNumbersOnlyChangesOfState(t *testing.T) {
	a, b := object("a", 1), object("b", 1)
	l := New(7, 10)
	for i, step := range []struct {
		changes   []Change
		published int
		index     int64
	}{
		{[]Change{{Name: "a", Object: a}, {Name: "b", Object: b}}, 2, 2},
		{[]Change{{Name: "a", Object: a}}, 0, 2},
		{[]Change{{Name: "a", Object: object("a", 2)}, {Name: "a", Object: object("a", 3)}}, 1, 3},
		{[]Change{{Name: "a", Removed: true}, {Name: "a", Object: object("a", 3)}}, 0, 3},
		{[]Change{{Name: "c", Removed: true}}, 0, 3},
		{[]Change{{Name: "b", Removed: true}}, 1, 4},
		{[]Change{{Name: "b", Removed: true}}, 0, 4},
		{[]Change{{Name: "b", Object: b}}, 1, 5},
	} {
		n, err := l.Publish(step.changes)
		if n != step.published || err != nil || l.Version() != (Version{7, step.index}) {
			t.Errorf("step %d: %d published, %v, version %+v", i, n, err, l.Version())
		}
	}
	size := len(withVersion(object("a", 3), 3)) + len(withVersion(b, 5))
	if entries, bytes := l.Live(); entries != 2 || bytes != size {
		t.Errorf("%d live entries of %d bytes, want the bodies of a and b", entries, bytes)
	}
	state := []Change{{Name: "a", Object: object("a", 3)}, {Name: "d", Object: object("d", 1)}}
	for _, published := range []int{2, 0} { // the first Replace removes b and adds d
		n, err := l.Replace(state)
		if n != published || err != nil || l.Version() != (Version{7, 7}) || liveBodies(l.byName)["b"] != "" {
			t.Errorf("Replace: %d published, %v, version %+v", n, err, l.Version())
		}
	}
}

// One of several changes is invalid. Publish publishes none of them and returns an error for the kind of fault.
func TestPublishRefusesInvalidChanges(t *testing.T) {
	l := New(7, 10)
	if _, err := l.Publish([]Change{{Name: "a", Object: object("a", 1)}}); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		invalid Change
		want    error
	}{
		{Change{Object: object("", 1)}, ErrInvalidChange},
		{Change{Name: "x", Object: []byte(`{"name":`)}, ErrInvalidChange},
		{Change{Name: "x", Object: []byte(`[]`)}, ErrInvalidChange},
		{Change{Name: "x", Object: fmt.Appendf(nil, `{"name":"x","text":"%0*d"}`, MaxEntryBytes, 1)}, ErrTooLarge},
	} {
		_, err := l.Publish([]Change{{Name: "a", Object: object("a", 9)}, c.invalid})
		if !errors.Is(err, c.want) || l.Version().Index != 1 {
			t.Errorf("%.40q: %v, want %v; version %+v", c.invalid.Object, err, c.want, l.Version())
		}
	}
}
