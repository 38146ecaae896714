package core

import (
	"time"

	"github.com/google/btree"
)

// maxTimer is the longest time that the coordinator's goroutine sleeps without a deadline.
const maxTimer = time.Minute

// deadlines holds everything that is to happen at an instant, sorted by it.
type deadlines struct {
	tree   *btree.BTreeG[*deadline] // by instant, then by number
	lastNo uint64                   // number of the deadline that was added last
}

// deadline is something to be done at an instant.
type deadline struct {
	at  time.Duration // instant at which run is due
	no  uint64        // order of adding, which is the order among deadlines of one instant
	run func()        // called once, by the coordinator's goroutine
}

func newDeadlines() deadlines {
	const degree = 16 // children of a node of the tree
	return deadlines{tree: btree.NewG(degree, func(x, y *deadline) bool {
		return x.at < y.at || x.at == y.at && x.no < y.no
	})}
}

// add has the coordinator call run at an instant, or in the present tick where that is over.
func (d *deadlines) add(at time.Duration, run func()) *deadline {
	d.lastNo++
	dl := &deadline{at, d.lastNo, run}
	d.tree.ReplaceOrInsert(dl)
	return dl
}

// remove takes a deadline back. It does nothing to one that has run, and to nil.
func (d *deadlines) remove(dl *deadline) {
	if dl != nil {
		d.tree.Delete(dl)
	}
}

// takeDue removes and returns the first deadline, if it is due at now; nil if it is not.
func (d *deadlines) takeDue(now time.Duration) *deadline {
	dl, ok := d.tree.Min()
	if !ok || dl.at > now {
		return nil
	}
	d.tree.DeleteMin()
	return dl
}

// untilNext is the time from now to the first deadline, 0 where that is over, and maxTimer at most.
func (d *deadlines) untilNext(now time.Duration) time.Duration {
	dl, ok := d.tree.Min()
	if !ok {
		return maxTimer
	}
	return min(maxTimer, max(0, dl.at-now))
}

// runDeadlines runs all that is due, in order of time; what they add for now or before runs too.
func (c *Coordinator) runDeadlines() {
	for dl := c.deadlines.takeDue(c.now); dl != nil; dl = c.deadlines.takeDue(c.now) {
		c.load.addWait(c.now - dl.at)
		dl.run()
	}
}

// untilNextDeadline is for how long the coordinator's goroutine may sleep.
func (c *Coordinator) untilNextDeadline() time.Duration { return c.deadlines.untilNext(c.cfg.Clock()) }
