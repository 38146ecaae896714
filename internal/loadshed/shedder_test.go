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

// A coordinator hangs in one tick for a second, later its heap fills up, and both recover. Load is shed although the
// tick that hangs is not reported. Each change of level writes one log line, and queries write none. RelieveMemory is
// called with each memory level, including the return to normal.
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
		admitForOneSecond := func() (rejected int) {
			for range 1000 {
				if ok, _ := s.Admit(overload.Arrival{Class: "c"}); !ok {
					rejected++
				}
				s.QueryDone(1)
				time.Sleep(time.Millisecond)
			}
			return rejected
		}
		if n := admitForOneSecond(); n != 0 || log.Len() != 0 {
			t.Errorf("%d queries rejected without overload, log: %s", n, log.String())
		}
		tickElapsed.Store(int64(time.Second)) // the tick hangs, so it is not reported
		if n := admitForOneSecond(); n == 0 || s.Level() == overload.Normal {
			t.Errorf("%d queries rejected while the coordinator hangs, level %v", n, s.Level())
		}
		tickElapsed.Store(0)
		time.Sleep(3 * time.Second)
		if admitForOneSecond(); s.Level() != overload.Normal {
			t.Errorf("level %v after the coordinator recovered", s.Level())
		}
		liveBytes.Store(900 << 20)
		admitForOneSecond()
		liveBytes.Store(0)
		admitForOneSecond()
		cancel()
		synctest.Wait()
		if n := len(memoryLevels); n < 2 || memoryLevels[0] != overload.EndQueries ||
			memoryLevels[n-1] != overload.MemoryNormal {
			t.Errorf("RelieveMemory called with levels %v, want EndQueries first and MemoryNormal last", memoryLevels)
		}
		lines := strings.Split(strings.TrimSpace(log.String()), "\n")
		if len(lines) < 4 || len(lines) > 12 {
			t.Errorf("%d log lines about changes of level, want 4 to 12:\n%s", len(lines), log.String())
		}
		for _, l := range lines {
			if !strings.Contains(l, " "+logmsg.KeyOverloadLevel+"=") ||
				!strings.Contains(l, logmsg.KeyOverloadReasons+"=") || !strings.Contains(l, logmsg.KeyMeanWait+"=") {
				t.Errorf("log line without level, reasons or mean wait: %s", l)
			}
		}
	})
}

// ReadUsage shows the CPU time of a process that works, and the count of goroutine starts does not decrease.
func TestReadUsageOfWorkingProcess(t *testing.T) {
	before := ReadUsage()
	sum := 0
	for before.CPU == ReadUsage().CPU { // until the system's CPU clock has advanced
		sum++
	}
	if after := ReadUsage(); after.CPU <= before.CPU || after.GoroutineStarts < before.GoroutineStarts {
		t.Errorf("usage %+v before the work, %+v after it", before, after)
	}
}
