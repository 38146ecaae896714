package virtualtime

import (
	"slices"
	"testing"
	"time"
)

// Two events share an instant, and one is added while the queue is read. Events come in the order of their instants, those
// of one instant as they were added.
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
		t.Errorf("%v, want %v", got, want)
	}
	if at, event := q.Pop(); q.Len() != 0 || at != 5*time.Second || event != "later" {
		t.Errorf("%v %q, %d left", at, event, q.Len())
	}
}
