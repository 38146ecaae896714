package core

import (
	"time"

	"harepass/internal/decide/scatter"
)

// cachedListDelay is how long a coordinator that starts with a cached list waits for a new one. A watch without changes
// sends nothing, and discovery may be overloaded; clients are then served by the cached list.
const cachedListDelay = 200 * time.Millisecond

// listReadiness tells whether the endpoint list counts as known, which makes the coordinator Ready.
type listReadiness struct {
	known         bool // the polled source has answered, possibly with a failure, or cachedListDelay is over
	mayStartDelay bool // the polled source has been asked, and cachedListDelay has not started
}

// noteListReadiness updates listReadiness after an update is merged.
func (c *Coordinator) noteListReadiness(u endpointUpdate) {
	if u.partial {
		return
	}
	if u.kind != scatter.CachedUpdate && u.source == c.cfg.PolledSource {
		c.listReadiness.known = true
	}
	c.startCachedListDelay()
}

// startCachedListDelay starts cachedListDelay, after which the cached list counts as known. It does so once the cached
// list is present and a new one was requested, in either order: if the cached list had to come first, a coordinator
// that receives it shortly after the request would not be Ready for as long as the watch is silent.
func (c *Coordinator) startCachedListDelay() {
	l := &c.listReadiness
	if l.mayStartDelay && !l.known && len(c.endpoints.byID) > 0 {
		l.mayStartDelay = false
		c.timers.add(c.now+cachedListDelay, func() { l.known = true })
	}
}
