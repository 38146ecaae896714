package core

import (
	"slices"
	"testing"
	"time"

	"harepass/internal/decide/overload"
)

// fakeAdmitter admits as the test wants, and records what it is called with.
type fakeAdmitter struct {
	reject   bool
	arrivals []overload.Arrival
	done     []int // parts of queries
	ticks    []Tick
}

func (f *fakeAdmitter) Admit(a overload.Arrival) (bool, time.Duration) {
	f.arrivals = append(f.arrivals, a)
	return !f.reject, 3 * time.Second
}
func (f *fakeAdmitter) QueryDone(parts int) { f.done = append(f.done, parts) }
func (f *fakeAdmitter) ObserveTick(t Tick)  { f.ticks = append(f.ticks, t) }

func (f *fakeAdmitter) lastTick() Tick { return f.ticks[len(f.ticks)-1] }

// What the Admitter rejects is never queued. It is not asked again about what it admitted by a query's head, and where
// clients may not be told when to retry they are not.
func TestQueryThatIsNotAdmittedIsNotQueued(t *testing.T) {
	f := &fakeAdmitter{reject: true}
	h := newHarness(t, func(c *Config) { c.Admitter = f })
	a := h.Execute(h.query("free", 0, 1), nil)
	if a.Status != Rejected || a.RetryAfter != 3*time.Second || len(h.queue) != 0 {
		t.Errorf("%+v, %d messages queued", a, len(h.queue))
	}
	if len(f.arrivals) != 1 || f.arrivals[0].Parts != 2 || f.arrivals[0].Class != "free" {
		t.Errorf("called with %+v", f.arrivals)
	}
	q := h.query("free", 0)
	q.Admitted = true
	left := make(chan struct{})
	close(left)
	if a := h.Execute(q, left); a.Status != Failed || len(f.arrivals) != 1 {
		t.Errorf("%+v, called %d times", a, len(f.arrivals))
	}
	h = newHarness(t, func(c *Config) { c.Admitter, c.Settings.RetryAfter = f, 0 })
	if a := h.Execute(h.query("free", 0), nil); a.RetryAfter != 0 {
		t.Errorf("told to retry after %v", a.RetryAfter)
	}
}

// The Admitter hears how late each tick was, what is open, and of each query's end once. When all queries are over,
// nothing counts as open.
func TestAdmitterObservesTicks(t *testing.T) {
	f := &fakeAdmitter{}
	h := newHarness(t, func(c *Config) { c.Admitter, c.Limits.MaxOpen = f, 100 })
	h.Submit(h.query("free", 0, 1))
	h.clock += 30 * ms
	h.tick()
	tick := f.lastTick()
	if tick.Count != 1 || tick.TotalWait != 30*ms || tick.MaxWait != 30*ms || tick.OpenFraction != 0.03 ||
		tick.QueryBytes != queryOverheadBytes+2*partOverheadBytes {
		t.Errorf("%+v", tick)
	}
	h.succeed(make([]byte, 100))
	tick = f.lastTick()
	if tick.QueryBytes != 0 || tick.OpenFraction != 0 || !slices.Equal(f.done, []int{2}) || h.open.bytes != 0 {
		t.Errorf("%+v, ended %v, %d bytes", tick, f.done, h.open.bytes)
	}
}

// A tick hangs, here in a call to the system that asks for the query's client: the Admitter's side has to see for how
// long. Within the tick TickElapsed grows with the clock; between ticks it is 0.
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
		t.Errorf("%v within the tick, %v after it", within, h.TickElapsed())
	}
}
