package core

import (
	"sync/atomic"
	"time"
)

// Tick tells an Admitter how far the coordinator is behind: of one tick, or of several together.
type Tick struct {
	TotalWait    time.Duration // of all messages and timers, each from when it was due to the tick's begin
	MaxWait      time.Duration // longest wait of one message or timer
	Count        int           // messages and timers
	Duration     time.Duration // from the tick's begin to its end
	OpenFraction float64       // open queries and parts, as a share of the limit; 0 where there is no limit
	QueryBytes   int64         // bytes that open queries take, as far as they are counted
}

// tickLoad measures the present tick.
type tickLoad struct {
	startedAt atomic.Int64 // instant at which the present tick began; 0 between ticks. For any goroutine
	waits     Tick         // waits since the last report
}

func (l *tickLoad) begin(now time.Duration) { l.startedAt.Store(int64(now)) }
func (l *tickLoad) end()                    { l.startedAt.Store(0) }

// addWait counts a message or timer, and how long it has waited since it was due.
func (l *tickLoad) addWait(wait time.Duration) {
	wait = max(0, wait)
	l.waits.TotalWait += wait
	l.waits.MaxWait = max(l.waits.MaxWait, wait)
	l.waits.Count++
}

// takeWaits returns the waits since it was called last.
func (l *tickLoad) takeWaits() Tick {
	t := l.waits
	l.waits = Tick{}
	return t
}

// TickElapsed is how long the present tick has taken so far, 0 between ticks. Any goroutine may call it: a tick that
// does not end reports nothing by itself.
func (c *Coordinator) TickElapsed() time.Duration {
	if startedAt := c.load.startedAt.Load(); startedAt > 0 {
		return max(0, c.cfg.Clock()-time.Duration(startedAt))
	}
	return 0
}

// reportTick tells the Admitter of the tick that ends.
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
