package core

import (
	"time"

	"harepass/internal/decide/scatter"
)

// cachedListDelay is how long a coordinator that starts with a cached list waits for a new one before it serves clients
// with the cached list. The new list can take long in two cases: discovery is overloaded, or the coordinator watches
// for changes since its cached list (discovery sends nothing while there are none).
const cachedListDelay = 200 * time.Millisecond

// listReadiness tells whether the endpoint list counts as known. Once it does, updatePhase sets the phase to Ready. The
// polled source is Config.PolledSource.
type listReadiness struct {
	known         bool // the polled source has answered, even if with a failure, or the delay timer has fired
	mayStartDelay bool // the polled source was asked (subscribe) after the delay timer was last started, if ever
}

// noteListReadiness updates listReadiness after an update is merged. Any update of the polled source counts as its
// answer, except a cached list, which the source did not send. Any complete update may start the delay timer. A partial
// update has no effect, because half a list must not make the coordinator Ready.
func (c *Coordinator) noteListReadiness(u endpointUpdate) {
	if u.partial {
		return
	}
	if u.kind != scatter.CachedUpdate && u.source == c.cfg.PolledSource {
		c.listReadiness.known = true
	}
	c.startCachedListDelay()
}

// startCachedListDelay starts the delay timer: after cachedListDelay the list counts as known. It does so once any
// source lists an endpoint and the polled source was asked, in either order: if the cached list had to come first, a
// coordinator that receives it shortly after the request would not be Ready for as long as the watch is silent.
func (c *Coordinator) startCachedListDelay() {
	l := &c.listReadiness
	if l.mayStartDelay && !l.known && len(c.endpoints.byID) > 0 {
		l.mayStartDelay = false
		c.timers.add(c.now+cachedListDelay, func() { l.known = true })
	}
}
