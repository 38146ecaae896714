package core

import (
	"time"

	"harepass/internal/decide/scatter"
)

// cachedListDelay is for how long a new list is waited for after a start with a cached one. A watch that brings nothing
// is silent, and discovery may be overloaded; clients are served by the cached list then.
const cachedListDelay = 200 * time.Millisecond

// listReadiness is whether the endpoint list counts as known, which makes the coordinator Ready.
type listReadiness struct {
	known      bool // the polled source has answered, if only by a failure, or the cached list has to do
	mayPresume bool // the polled source was asked, and the wait of cachedListDelay has not begun
}

// noteListReadiness takes in that an update was merged.
func (c *Coordinator) noteListReadiness(u endpointUpdate) {
	if u.partial {
		return
	}
	if u.kind != scatter.CachedUpdate && u.source == c.cfg.PolledSource {
		c.listReadiness.known = true
	}
	c.presumeCachedList()
}

// presumeCachedList lets the cached list do after cachedListDelay, once it is there and a new one was asked for,
// whichever came first. If it had to be there first, a coordinator whose cached list came a moment after the request
// would not be ready for as long as the watch is silent.
func (c *Coordinator) presumeCachedList() {
	l := &c.listReadiness
	if l.mayPresume && !l.known && len(c.endpoints.byID) > 0 {
		l.mayPresume = false
		c.timers.add(c.now+cachedListDelay, func() { l.known = true })
	}
}
