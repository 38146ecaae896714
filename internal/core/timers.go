package core

import (
	"time"

	"github.com/google/btree"
)

// maxSleep is the longest sleep of the coordinator's goroutine, also when no timer is set.
const maxSleep = time.Minute

// timers holds the pending timers, sorted by due time.
type timers struct {
	tree       *btree.BTreeG[*timer] // sorted by due time, then by number
	lastNumber uint64                // number of the most recently added timer
}

// timer is a function to run at an instant. For example, the coordinator sets one for the deadline of each query.
type timer struct {
	due    time.Duration // instant at which run is due
	number uint64        // order of addition; timers that are due at the same instant run in this order
	run    func()        // called once, by the coordinator's goroutine
}

func newTimers() timers {
	const degree = 16 // of the tree's nodes
	return timers{tree: btree.NewG(degree, func(x, y *timer) bool {
		return x.due < y.due || x.due == y.due && x.number < y.number
	})}
}

// add schedules run at an instant, or in the current tick if that instant has passed.
func (ts *timers) add(due time.Duration, run func()) *timer {
	ts.lastNumber++
	t := &timer{due: due, number: ts.lastNumber, run: run}
	ts.tree.ReplaceOrInsert(t)
	return t
}

// remove cancels a timer. It does nothing if the timer has run or is nil.
func (ts *timers) remove(t *timer) {
	if t != nil {
		ts.tree.Delete(t)
	}
}

// takeDue removes and returns the first timer if it is due at now; otherwise it returns nil.
func (ts *timers) takeDue(now time.Duration) *timer {
	t, ok := ts.tree.Min()
	if !ok || t.due > now {
		return nil
	}
	ts.tree.DeleteMin()
	return t
}

// untilNext returns the time from now until the first timer is due: 0 if one is already due, and at most maxSleep.
func (ts *timers) untilNext(now time.Duration) time.Duration {
	t, ok := ts.tree.Min()
	if !ok {
		return maxSleep
	}
	return min(maxSleep, max(0, t.due-now))
}

// runDueTimers runs all timers that are due, in order. This includes due timers that they add while they run.
func (c *Coordinator) runDueTimers() {
	for t := c.timers.takeDue(c.now); t != nil; t = c.timers.takeDue(c.now) {
		c.load.addWait(c.now - t.due)
		t.run()
	}
}

// untilNextTimer returns how long the coordinator's goroutine may sleep.
func (c *Coordinator) untilNextTimer() time.Duration { return c.timers.untilNext(c.cfg.Clock()) }
