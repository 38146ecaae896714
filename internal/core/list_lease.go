package core

import (
	"time"

	"harepass/internal/logmsg"
)

// listLease is the lease on the polled source's list. Once it is over, nothing new is sent by that list: replicas may
// be draining that this coordinator has not heard of.
type listLease struct {
	expiry     *deadline // when the lease is over; nil where the source has set no end, or it has been reached
	expired    bool
	onlySource bool // with expired: no other source lists an endpoint, so no query can be served
}

// SetListExpiry sets until when a source's list may be used, as an instant on the coordinator's clock. A list for which
// it is never called may be used for good; sources other than the polled one have no lease. It waits while the queue is
// full.
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
	c.deadlines.remove(c.lease.expiry)
	c.lease.expiry = c.deadlines.add(m.expires, c.expireList)
	if c.lease.expired && m.expires > c.now {
		c.lease.expired, c.lease.onlySource = false, false
		c.cfg.Log.Info(logmsg.EndpointListConfirmed)
		c.notifyEffectiveList()
	}
}

// expireList ends the lease: the module hears that the list's replicas drain, until the list is confirmed.
func (c *Coordinator) expireList() {
	c.lease.expiry = nil
	if c.lease.expired {
		return
	}
	c.lease.expired, c.lease.onlySource = true, true
	for _, e := range c.endpoints.byID {
		c.lease.onlySource = c.lease.onlySource && e.source == c.cfg.PolledSource
	}
	c.cfg.Log.Warn(logmsg.EndpointListExpired, logmsg.KeyOpenQueries, len(c.open.byID))
	listsExpired.Inc()
	c.notifyEffectiveList()
	c.withholdUnsendable()
}

// nothingSendable reports whether no query can be served because the only list has expired.
func (c *Coordinator) nothingSendable() bool { return c.lease.expired && c.lease.onlySource }
