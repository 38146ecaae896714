package core

import (
	"slices"
	"testing"
	"time"

	"harepass/internal/decide/overload"
)

// fakeAdmitter admits or rejects as the test sets it, and records its calls.
type fakeAdmitter struct {
	reject   bool
	arrivals []overload.Arrival
	done     []int // number of parts of each query that ended
	ticks    []Tick
}

func (f *fakeAdmitter) Admit(a overload.Arrival) (bool, time.Duration) {
	f.arrivals = append(f.arrivals, a)
	return !f.reject, 3 * time.Second
}
func (f *fakeAdmitter) QueryDone(parts int) { f.done = append(f.done, parts) }
func (f *fakeAdmitter) ObserveTick(t Tick)  { f.ticks = append(f.ticks, t) }

func (f *fakeAdmitter) lastTick() Tick { return f.ticks[len(f.ticks)-1] }

// A query that the Admitter rejects is never queued. The Admitter is not asked about a query that a front has already
// admitted. If the settings have no Retry-After, the client gets none.
func TestQueryThatIsNotAdmittedIsNotQueued(t *testing.T) {
	f := &fakeAdmitter{reject: true}
	h := newHarness(t, func(c *Config) { c.Admitter = f })
	a := h.Execute(h.query("free", 0, 1), nil)
	if a.Status != Rejected || a.RetryAfter != 3*time.Second || len(h.queue) != 0 {
		t.Errorf("answer %+v and %d queued messages, want a rejection with Retry-After 3s and 0", a, len(h.queue))
	}
	if len(f.arrivals) != 1 || f.arrivals[0].Parts != 2 || f.arrivals[0].Class != "free" {
		t.Errorf("Admitter called with %+v, want one arrival of 2 parts", f.arrivals)
	}
	q := h.query("free", 0)
	q.Admitted = true
	left := make(chan struct{})
	close(left)
	if a := h.Execute(q, left); a.Status != Failed || len(f.arrivals) != 1 {
		t.Errorf("answer %+v, Admitter called %d times; want Failed and 1", a, len(f.arrivals))
	}
	h = newHarness(t, func(c *Config) { c.Admitter, c.Settings.RetryAfter = f, 0 })
	if a := h.Execute(h.query("free", 0), nil); a.RetryAfter != 0 {
		t.Errorf("Retry-After %v, want 0", a.RetryAfter)
	}
}

// The Admitter is notified of each tick's delay and open queries, and once of each query's end. When all queries are
// over, nothing counts as open.
func TestAdmitterObservesTicks(t *testing.T) {
	f := &fakeAdmitter{}
	h := newHarness(t, func(c *Config) { c.Admitter, c.Limits.MaxOpen = f, 100 })
	h.Submit(h.query("free", 0, 1))
	h.clock += 30 * ms
	h.tick()
	tick := f.lastTick()
	if tick.Count != 1 || tick.TotalWait != 30*ms || tick.MaxWait != 30*ms || tick.OpenFraction != 0.03 ||
		tick.QueryBytes != queryOverheadBytes+2*partOverheadBytes {
		t.Errorf("reported tick %+v", tick)
	}
	h.succeed(make([]byte, 100))
	tick = f.lastTick()
	if tick.QueryBytes != 0 || tick.OpenFraction != 0 || !slices.Equal(f.done, []int{2}) || h.open.bytes != 0 {
		t.Errorf("after the answer: tick %+v, parts of ended queries %v, %d bytes open", tick, f.done, h.open.bytes)
	}
}

// A tick hangs, here in ClientLeft's call to the system. The load shedder must see for how long: within the tick
// TickElapsed grows with the clock; between ticks it is 0.
func TestTickElapsed(t *testing.T) {
	h := newHarness(t, nil)
	var within time.Duration
	q := h.query("free", 0)
	q.ClientLeft = func() bool {
		h.clock += 40 * ms
		within = h.TickElapsed()
		return true
	}
	q.Done = func(Answer) {}
	h.Submit(q)
	h.tick()
	if within != 40*ms || h.TickElapsed() != 0 {
		t.Errorf("TickElapsed is %v within the tick and %v after it, want 40ms and 0", within, h.TickElapsed())
	}
}
