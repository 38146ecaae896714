package core

import (
	"time"

	"harepass/internal/logmsg"
)

// listLease is the lease on the polled source's list. Once it is over, nothing new is sent by that list: replicas may
// be draining without this coordinator knowing.
type listLease struct {
	endTimer      *timer // when the lease is over; nil where the source has set no end, or it has been reached
	expired       bool   // the lease is over, and the list has not been confirmed since
	wasOnlySource bool   // when the lease expired, no other source listed an endpoint; false while it is not expired
}

// SetListExpiry sets until when a source's list may be used, as an instant on the coordinator's clock. A list for which
// it is never called may be used for good; sources other than the polled one have no lease. It waits while the queue is
// full; a tick that hangs can make that long.
func (c *Coordinator) SetListExpiry(source string, expires time.Duration) {
	c.post(leaseRenewed{source, expires})
}

type leaseRenewed struct {
	source  string
	expires time.Duration
}

func (m leaseRenewed) apply(c *Coordinator) {
	if m.source != c.cfg.PolledSource {
		return
	}
	c.timers.remove(c.lease.endTimer)
	c.lease.endTimer = c.timers.add(m.expires, c.endLease)
	if c.lease.expired && m.expires > c.now {
		c.lease.expired, c.lease.wasOnlySource = false, false
		c.cfg.Log.Info(logmsg.EndpointListConfirmed)
		c.notifyEffectiveList()
	}
}

// endLease ends the lease: the module hears that the list's replicas drain, until the list is confirmed.
func (c *Coordinator) endLease() {
	c.lease.endTimer = nil
	if c.lease.expired {
		return
	}
	c.lease.expired, c.lease.wasOnlySource = true, true
	for _, e := range c.endpoints.byID {
		c.lease.wasOnlySource = c.lease.wasOnlySource && e.source == c.cfg.PolledSource
	}
	c.cfg.Log.Warn(logmsg.EndpointListExpired, logmsg.KeyOpenQueries, len(c.open.byID))
	listsExpired.Inc()
	c.notifyEffectiveList()
	c.withholdUnsendable()
}

// onlyListExpired reports whether new queries are to be rejected because the only list has expired. Which sources list
// endpoints is read once, when the lease ends: one that begins to list some later does not end the rejections; a
// confirmed list does.
func (c *Coordinator) onlyListExpired() bool { return c.lease.expired && c.lease.wasOnlySource }
