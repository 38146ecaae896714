package core

import "harepass/internal/decide/scatter"

// effective is an endpoint as the module is to hear of it: as its source lists it, unless the source's lease has
// expired or operators have taken the replica out.
func (c *Coordinator) effective(e listedEndpoint) scatter.Replica {
	if c.lease.expired && e.source == c.cfg.PolledSource && e.State == scatter.Ready {
		e.State = scatter.Draining
	}
	return c.maintenance.register.Effective(e.Replica)
}

// effectiveList is the endpoint list as the module is to hear it, in the order of ids.
func (c *Coordinator) effectiveList() (list []scatter.Replica) {
	for _, id := range c.endpoints.ids() {
		list = append(list, c.effective(c.endpoints.byID[id]))
	}
	return list
}

// sendable reports whether new attempts may be sent to an endpoint: it is listed, and effectively ready.
func (c *Coordinator) sendable(id string) bool {
	e, listed := c.endpoints.byID[id]
	return listed && c.effective(e).State == scatter.Ready
}

// notifyEffectiveList notifies the module of the endpoint list anew, after lease or maintenance have changed it.
func (c *Coordinator) notifyEffectiveList() {
	c.endpoints.forgetFirstPhaseSupport()
	c.notify(scatter.EndpointUpdate{Kind: scatter.CachedUpdate, Replicas: c.effectiveList()})
}
