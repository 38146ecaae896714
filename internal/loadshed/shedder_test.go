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
	"harepass/internal/logmsg"
)

func config() overload.Config {
	return overload.Config{
		WaitTarget: 10 * time.Millisecond, Cores: 1, MemoryBytes: 1 << 30, Rand: func() float64 { return 0.5 },
		Classes: []overload.Class{{Name: "c", PriorityWeight: 1, TypicalParts: 1}},
	}
}

// A coordinator hangs in one tick for a second, later its heap fills up, and both pass. Load is shed although the
// tick that hangs has not been reported; each change of level writes one log line and no query writes any; the
// coordinator is told of the memory level, and of its end.
func TestShedderLogsLevelsAndRelievesMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		var memoryLevels []overload.MemoryLevel
		var liveBytes, tickElapsed atomic.Int64
		s := New(config(), core.SystemClock())
		s.Log = slog.New(slog.NewTextHandler(&log, nil))
		s.Measure = func() Usage { return Usage{LiveBytes: liveBytes.Load()} }
		s.TickElapsed = func() time.Duration { return time.Duration(tickElapsed.Load()) }
		s.RelieveMemory = func(m overload.MemoryLevel, _ int64) { memoryLevels = append(memoryLevels, m) }
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		oneSecond := func() (rejected int) {
			for range 1000 {
				if ok, _ := s.Admit(overload.Arrival{Class: "c"}); !ok {
					rejected++
				}
				s.QueryDone(1)
				time.Sleep(time.Millisecond)
			}
			return rejected
		}
		if n := oneSecond(); n != 0 || log.Len() != 0 {
			t.Errorf("%d rejected with nothing wrong: %s", n, log.String())
		}
		tickElapsed.Store(int64(time.Second)) // the tick does not end, so it is not reported
		if n := oneSecond(); n == 0 || s.Level() == overload.Normal {
			t.Errorf("%d rejected while the coordinator hangs, level %v", n, s.Level())
		}
		tickElapsed.Store(0)
		time.Sleep(3 * time.Second)
		if oneSecond(); s.Level() != overload.Normal {
			t.Errorf("level %v after all is well", s.Level())
		}
		liveBytes.Store(900 << 20)
		oneSecond()
		liveBytes.Store(0)
		oneSecond()
		cancel()
		synctest.Wait()
		if n := len(memoryLevels); n < 2 || memoryLevels[0] != overload.EndQueries ||
			memoryLevels[n-1] != overload.MemoryNormal {
			t.Errorf("memory levels %v", memoryLevels)
		}
		lines := strings.Split(strings.TrimSpace(log.String()), "\n")
		if len(lines) < 4 || len(lines) > 12 {
			t.Errorf("%d lines for the changes of level:\n%s", len(lines), log.String())
		}
		for _, l := range lines {
			if !strings.Contains(l, " "+logmsg.KeyOverloadLevel+"=") ||
				!strings.Contains(l, logmsg.KeyOverloadReasons+"=") || !strings.Contains(l, logmsg.KeyMeanWait+"=") {
				t.Errorf("a line without level, reason and figures: %s", l)
			}
		}
	})
}

// A process that works shows CPU time, and goroutines that were given a core.
func TestReadUsageOfWorkingProcess(t *testing.T) {
	before := ReadUsage()
	sum := 0
	for before.CPU == ReadUsage().CPU { // until the system's CPU clock has moved
		sum++
	}
	if after := ReadUsage(); after.CPU <= before.CPU || after.GoroutineStarts < before.GoroutineStarts {
		t.Errorf("%+v, then %+v", before, after)
	}
}
