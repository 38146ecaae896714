package core

import "sync/atomic"

// Usage is what a Coordinator holds in memory.
type Usage struct {
	OpenQueries int // queries without a final answer
	Parts       int // parts whose query is open or whose attempts are out, with those of first phases
	ReservedIDs int // ids that no other query may have
	QueryBytes  int // estimated bytes of the open queries
}

// usageGauge publishes the coordinator's usage at the end of its last tick to other goroutines.
type usageGauge struct{ last atomic.Pointer[Usage] }

// Usage returns what the coordinator held at the end of its last tick. Any goroutine may call it.
func (c *Coordinator) Usage() Usage {
	if u := c.usage.last.Load(); u != nil {
		return *u
	}
	return Usage{}
}

// publishUsage updates the result of Usage if it has changed.
func (c *Coordinator) publishUsage() {
	u := Usage{OpenQueries: len(c.open.byID), Parts: len(c.open.parts), ReservedIDs: c.reservedIDs.size(),
		QueryBytes: int(c.open.bytes)}
	if u != c.Usage() {
		c.usage.last.Store(&u)
	}
}
