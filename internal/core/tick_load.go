package core

import (
	"sync/atomic"
	"time"
)

// Tick reports to an Admitter how far the coordinator is behind, for one tick or for several combined.
type Tick struct {
	TotalWait    time.Duration // sum over all messages and timers, each from its due time to the tick's start
	MaxWait      time.Duration // longest wait of one message or timer
	Count        int           // messages and timers processed
	Duration     time.Duration // from the start of the tick to its end
	OpenFraction float64       // open queries and parts as a fraction of the limit; 0 if there is no limit
	QueryBytes   int64         // estimated bytes of open queries
}

// tickLoad measures the current tick.
type tickLoad struct {
	startedAt atomic.Int64 // instant at which the current tick began; 0 between ticks. Any goroutine may read it
	waits     Tick         // wait statistics since the last report; only the wait fields and Count are set
}

func (l *tickLoad) begin(now time.Duration) { l.startedAt.Store(int64(now)) }
func (l *tickLoad) end()                    { l.startedAt.Store(0) }

// addWait adds a message or timer that has waited for the given time since it was due.
func (l *tickLoad) addWait(wait time.Duration) {
	wait = max(0, wait)
	l.waits.TotalWait += wait
	l.waits.MaxWait = max(l.waits.MaxWait, wait)
	l.waits.Count++
}

// takeWaits returns the wait statistics since the last call and resets them.
func (l *tickLoad) takeWaits() Tick {
	t := l.waits
	l.waits = Tick{}
	return t
}

// TickElapsed returns how long the current tick has taken so far, or 0 between ticks. Any goroutine may call it: a tick
// that hangs cannot report its own duration.
func (c *Coordinator) TickElapsed() time.Duration {
	if startedAt := c.load.startedAt.Load(); startedAt > 0 {
		return max(0, c.cfg.Clock()-time.Duration(startedAt))
	}
	return 0
}

// reportTick reports the tick that is ending to the Admitter.
func (c *Coordinator) reportTick() {
	if c.cfg.Admitter == nil {
		return
	}
	t := c.load.takeWaits()
	t.Duration, t.QueryBytes = c.cfg.Clock()-c.now, c.open.bytes
	if limit := c.openLimit(); limit > 0 {
		t.OpenFraction = float64(c.open.count) / float64(limit)
	}
	c.cfg.Admitter.ObserveTick(t)
}
