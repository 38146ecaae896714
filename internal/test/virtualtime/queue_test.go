package virtualtime

import (
	"slices"
	"testing"
	"time"
)

// Several events share an instant, and one is added while the queue is read. Until must yield events in the order of
// their instants, and events with the same instant in the order of their addition.
func TestQueueYieldsEventsInOrderOfInstantThenAddition(t *testing.T) {
	var q Queue[string]
	q.Add(2*time.Second, "c")
	q.Add(time.Second, "a")
	q.Add(2*time.Second, "d")
	q.Add(time.Second, "b")
	q.Add(5*time.Second, "later")
	var got []string
	for at, event := range q.Until(2 * time.Second) {
		if got = append(got, event); event == "a" {
			q.Add(at, "after b")
		}
	}
	if want := []string{"a", "b", "after b", "c", "d"}; !slices.Equal(got, want) {
		t.Errorf("Until yielded %v, want %v", got, want)
	}
	if at, event := q.Pop(); q.Len() != 0 || at != 5*time.Second || event != "later" {
		t.Errorf("Pop returned %v %q and left %d events, want 5s \"later\" and 0 events", at, event, q.Len())
	}
}
