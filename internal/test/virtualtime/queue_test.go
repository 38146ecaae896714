package virtualtime

import (
	"slices"
	"testing"
	"time"
)

// Events come in order of time, those of one instant as they were added, and those added meanwhile in their place.
func TestQueueOrder(t *testing.T) {
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
