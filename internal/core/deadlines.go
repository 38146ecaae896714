package core

import (
	"time"

	"github.com/google/btree"
)

// deadlines is the one sorted structure of all the owner's deadlines.
type deadlines struct {
	tree *btree.BTreeG[*deadline]
	seq  uint64
}

type deadline struct {
	at  time.Duration
	seq uint64 // order among equals
	run func()
}

func newDeadlines() deadlines {
	return deadlines{tree: btree.NewG(16, func(x, y *deadline) bool {
		return x.at < y.at || x.at == y.at && x.seq < y.seq
	})}
}

func (d *deadlines) add(at time.Duration, run func()) *deadline {
	d.seq++
	dl := &deadline{at, d.seq, run}
	d.tree.ReplaceOrInsert(dl)
	return dl
}

func (d *deadlines) remove(dl *deadline) {
	if dl != nil {
		d.tree.Delete(dl)
	}
}

// sweep runs all that is due, in order of time.
func (o *Coordinator) sweep() {
	for {
		dl, ok := o.deadlines.tree.Min()
		if !ok || dl.at > o.now {
			return
		}
		o.deadlines.tree.DeleteMin()
		o.wait(o.now - dl.at)
		dl.run()
	}
}

const longest = time.Minute

// untilNext is the time to the first deadline.
func (o *Coordinator) untilNext() time.Duration {
	dl, ok := o.deadlines.tree.Min()
	if !ok {
		return longest
	}
	return min(longest, max(0, dl.at-o.cfg.Clock()))
}
