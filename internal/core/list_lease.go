package core

import (
	"time"

	"harepass/internal/logmsg"
)

// listLease is the lease on the polled source's list. After it expires, nothing new is sent to that list's endpoints:
// replicas may be draining without this coordinator knowing.
type listLease struct {
	endTimer      *timer // ends the lease; nil if the source has set no expiry, or once it is reached
	expired       bool   // the lease is over, and the list has not been confirmed since
	wasOnlySource bool   // while expired: no other source listed an endpoint at the expiry; otherwise false
}

// SetListExpiry sets the instant, on the coordinator's clock, until which a source's list may be used. A list without
// an expiry may be used indefinitely; only the polled source has a lease, so calls for other sources have no effect.
// SetListExpiry waits while the queue is full, which can take long if a tick hangs.
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

// endLease ends the lease: the list's replicas are reported to the decision module as draining until the list is
// confirmed.
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

// onlyListExpired reports whether to reject new queries because the only list has expired. Which sources list endpoints
// is checked once, when the lease ends: a source that lists its first endpoints later does not end the rejections, but
// a confirmed list does.
func (c *Coordinator) onlyListExpired() bool { return c.lease.expired && c.lease.wasOnlySource }
