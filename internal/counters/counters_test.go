package counters

import (
	"slices"
	"sync"
	"testing"
)

func TestTotals(t *testing.T) {
	closed, refused := New("test_closed", "idle"), New("test_refused", "full")
	New("test_refused", "never")
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 100 {
				closed.Inc()
			}
		})
	}
	wg.Wait()
	refused.Inc()
	want := []Total{{"test_closed.idle", 800}, {"test_refused.full", 1}}
	if got := Totals(); !slices.Equal(got, want) {
		t.Errorf("totals %v, want %v", got, want)
	}
	if attrs := Attrs(Totals()); len(attrs) != len(want) {
		t.Errorf("attributes %v", attrs)
	}
}
