package loadshed

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/overload"
)

func config() overload.Config {
	return overload.Config{WaitTarget: 10 * time.Millisecond, Cores: 1, MemoryBytes: 1 << 30, Rand: func() float64 { return 0.5 },
		Classes: []overload.Class{{Name: "c", PriorityWeight: 1, TypicalParts: 1}}}
}

// Signals become levels, one line in the log for each change and none for a query; memory is passed on, and its
// end; what the owner is stuck in counts before it ends.
func TestGuard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		var squeezed []overload.MemoryLevel
		var live, turning atomic.Int64
		g := New(config(), core.SystemClock())
		g.Log = slog.New(slog.NewTextHandler(&log, nil))
		g.Measure = func() Usage { return Usage{Live: live.Load()} }
		g.TickElapsed = func() time.Duration { return time.Duration(turning.Load()) }
		g.RelieveMemory = func(m overload.MemoryLevel, _ int64) { squeezed = append(squeezed, m) }
		ctx, cancel := context.WithCancel(t.Context())
		go g.Run(ctx)
		second := func() (refused int) {
			for range 1000 {
				if ok, _ := g.Admit(overload.Arrival{Class: "c"}); !ok {
					refused++
				}
				g.QueryDone(1)
				time.Sleep(time.Millisecond)
			}
			return refused
		}
		if n := second(); n != 0 || log.Len() != 0 {
			t.Errorf("%d refused with nothing wrong: %s", n, log.String())
		}
		turning.Store(int64(time.Second)) // no turn ends, so none is told
		if n := second(); n == 0 || g.Level() == overload.Normal {
			t.Errorf("%d refused while the owner is stuck, level %v", n, g.Level())
		}
		turning.Store(0)
		time.Sleep(3 * time.Second)
		if second(); g.Level() != overload.Normal {
			t.Errorf("level %v after all is well", g.Level())
		}
		live.Store(900 << 20)
		second()
		live.Store(0)
		second()
		cancel()
		synctest.Wait()
		if len(squeezed) < 2 || squeezed[0] != overload.EndQueries || squeezed[len(squeezed)-1] != overload.MemoryNormal {
			t.Errorf("squeezed %v", squeezed)
		}
		lines := strings.Split(strings.TrimSpace(log.String()), "\n")
		if len(lines) < 4 || len(lines) > 12 {
			t.Errorf("%d lines for the changes of level:\n%s", len(lines), log.String())
		}
		for _, l := range lines {
			if !strings.Contains(l, "level=") || !strings.Contains(l, "because=") || !strings.Contains(l, "wait=") {
				t.Errorf("a line without level, reason and figures: %s", l)
			}
		}
	})
}

// Self tells of a process that works: its time and its heap.
func TestSelf(t *testing.T) {
	before := Self()
	sum := 0
	for before.CPU == Self().CPU { // until the system's clock for it has moved
		sum++
	}
	if after := Self(); after.CPU <= before.CPU || after.Starts < before.Starts {
		t.Errorf("%+v, then %+v", before, after)
	}
}
