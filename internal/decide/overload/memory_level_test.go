package overload_test

import (
	"fmt"
	"testing"
	"time"

	"harepass/internal/decide/overload"
)

// Memory runs short and is freed again. Each level begins at once and ends only below 0.9 of the use at which it began.
// New queries are rejected before any admitted query is ended, and protected queries only when admitted queries have to
// be ended.
func TestMemoryLevels(t *testing.T) {
	cfg := config()
	cfg.MemoryBytes = 1000
	c := overload.New(cfg)
	now := time.Second
	observe := func(queryBytes int64) overload.MemoryLevel {
		now += c.Interval()
		c.Observe(overload.Signals{QueryBytes: queryBytes}, now)
		return c.MemoryLevel()
	}
	observe(0)
	for _, tc := range []struct {
		queryBytes int64
		want       overload.MemoryLevel
	}{
		{599, overload.MemoryNormal}, {600, overload.DropCached},
		{541, overload.DropCached}, {539, overload.MemoryNormal},
		{850, overload.EndQueries}, {770, overload.EndQueries}, {764, overload.RejectNew}, {650, overload.RejectNew},
		{647, overload.DropCached}, {0, overload.MemoryNormal},
	} {
		if got := observe(tc.queryBytes); got != tc.want {
			t.Fatalf("%d of 1000 bytes in use: level %v, want %v", tc.queryBytes, got, tc.want)
		}
		for _, class := range []string{"route", "hazard"} {
			d := c.Admit(overload.Arrival{Class: class, Tenant: "kitakaze"}, now)
			level := c.MemoryLevel()
			want := level < overload.RejectNew || class == "hazard" && level == overload.RejectNew
			if d.Admitted != want {
				t.Errorf("level %v: admission of class %s is %t", level, class, d.Admitted)
			}
		}
	}
	observe(900)
	if x := c.ExcessBytes(overload.Signals{QueryBytes: 900}); x != 135 {
		t.Errorf("ExcessBytes is %d, want 135: the bytes over 0.9 of 0.85 of the limit", x)
	}
}

// Queries with the most bytes per priority weight are selected first. A query that may have run is never selected.
func TestSelectQueriesToEnd(t *testing.T) {
	list := []overload.OpenQuery{
		{Bytes: 50, PriorityWeight: 1}, {Bytes: 90, PriorityWeight: 3},
		{Bytes: 80, PriorityWeight: 1, MayHaveRun: true}, {Bytes: 20, PriorityWeight: 1}, {PriorityWeight: 0},
	}
	if got := fmt.Sprint(overload.SelectQueriesToEnd(list, 60)); got != "[0 1]" {
		t.Errorf("selected %s, want those with the most bytes per weight, and none that may have run", got)
	}
	if got := fmt.Sprint(overload.SelectQueriesToEnd(list, 1000)); got != "[0 1 3]" {
		t.Errorf("selected %s, want all that have bytes and cannot have run", got)
	}
}
