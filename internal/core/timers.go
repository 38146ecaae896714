package core

import (
	"time"

	"github.com/google/btree"
)

// maxSleep is the longest time that the coordinator's goroutine sleeps while no timer is set.
const maxSleep = time.Minute

// timers holds everything that is to happen at an instant, sorted by it.
type timers struct {
	tree       *btree.BTreeG[*timer] // by instant, then by number
	lastNumber uint64                // number of the timer that was added last
}

// timer is something to be done at an instant. A client's deadline is an instant; one of these timers watches it.
type timer struct {
	due    time.Duration // instant at which run is due
	number uint64        // order of adding, which is the order among timers of one instant
	run    func()        // called once, by the coordinator's goroutine
}

func newTimers() timers {
	const degree = 16 // children of a node of the tree
	return timers{tree: btree.NewG(degree, func(x, y *timer) bool {
		return x.due < y.due || x.due == y.due && x.number < y.number
	})}
}

// add has the coordinator call run at an instant, or in the present tick where that is over.
func (ts *timers) add(due time.Duration, run func()) *timer {
	ts.lastNumber++
	t := &timer{due: due, number: ts.lastNumber, run: run}
	ts.tree.ReplaceOrInsert(t)
	return t
}

// remove cancels a timer. It does nothing to one that has run, and to nil.
func (ts *timers) remove(t *timer) {
	if t != nil {
		ts.tree.Delete(t)
	}
}

// takeDue removes and returns the first timer, if it is due at now; nil if it is not.
func (ts *timers) takeDue(now time.Duration) *timer {
	t, ok := ts.tree.Min()
	if !ok || t.due > now {
		return nil
	}
	ts.tree.DeleteMin()
	return t
}

// untilNext is the time from now until the first timer is due, 0 where one is due already, and maxSleep at most.
func (ts *timers) untilNext(now time.Duration) time.Duration {
	t, ok := ts.tree.Min()
	if !ok {
		return maxSleep
	}
	return min(maxSleep, max(0, t.due-now))
}

// runDueTimers runs all timers that are due, in order of time. A timer that they add for now or before runs too.
func (c *Coordinator) runDueTimers() {
	for t := c.timers.takeDue(c.now); t != nil; t = c.timers.takeDue(c.now) {
		c.load.addWait(c.now - t.due)
		t.run()
	}
}

// untilNextTimer is for how long the coordinator's goroutine may sleep.
func (c *Coordinator) untilNextTimer() time.Duration { return c.timers.untilNext(c.cfg.Clock()) }
