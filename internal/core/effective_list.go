package core

import "harepass/internal/decide/scatter"

// effective returns an endpoint as the decision module should see it: as its source lists it, with two exceptions. A
// Ready endpoint of the polled source is Draining while the lease on that source's list has expired, and operators'
// maintenance is applied on top.
func (c *Coordinator) effective(e listedEndpoint) scatter.Replica {
	if c.lease.expired && e.source == c.cfg.PolledSource && e.State == scatter.Ready {
		e.State = scatter.Draining
	}
	return c.maintenance.register.Effective(e.Replica)
}

// effectiveList returns the endpoint list as the decision module should see it, sorted by id.
func (c *Coordinator) effectiveList() (list []scatter.Replica) {
	for _, id := range c.endpoints.ids() {
		list = append(list, c.effective(c.endpoints.byID[id]))
	}
	return list
}

// sendable reports whether new attempts may be sent to an endpoint: it is listed, and its effective state is Ready.
func (c *Coordinator) sendable(id string) bool {
	e, listed := c.endpoints.byID[id]
	return listed && c.effective(e).State == scatter.Ready
}

// notifyEffectiveList sends the decision module the whole endpoint list after a change of the lease or of maintenance.
func (c *Coordinator) notifyEffectiveList() {
	c.endpoints.forgetFirstPhaseSupport()
	c.notify(scatter.EndpointUpdate{Kind: scatter.CachedUpdate, Replicas: c.effectiveList()})
}
