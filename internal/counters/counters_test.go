package counters

import (
	"slices"
	"sync"
	"testing"
)

// Several goroutines increment a counter concurrently. The totals are exact and sorted, and omit counters at zero.
func TestTotalsListCountersAboveZero(t *testing.T) {
	closed, rejected := New("test_closed", "idle"), New("test_rejected", "full")
	New("test_rejected", "never")
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 100 {
				closed.Inc()
			}
		})
	}
	wg.Wait()
	rejected.Inc()
	want := []Total{{"test_closed.idle", 800}, {"test_rejected.full", 1}}
	if got := Totals(); !slices.Equal(got, want) {
		t.Errorf("totals %v, want %v", got, want)
	}
	if attrs := Attrs(Totals()); len(attrs) != len(want) {
		t.Errorf("attributes %v, want one for each total", attrs)
	}
}
