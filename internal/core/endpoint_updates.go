package core

import (
	"slices"

	"harepass/internal/decide/scatter"
)

// endpointUpdate is an update of a source's list, or a piece of one.
type endpointUpdate struct {
	source    string
	kind      scatter.UpdateKind
	endpoints []Endpoint
	partial   bool // further pieces of the same list follow

	// listed has all ids of the source's list, in the last of several pieces; nil where the list came in one.
	listed map[string]struct{}
}

// isFull reports whether the update lists all endpoints of its source.
func (u endpointUpdate) isFull() bool {
	return u.kind == scatter.FullUpdate || u.kind == scatter.CachedUpdate
}

// UpdateEndpoints brings a source's list of endpoints, changes of it, or the notice that it could not be had. A full
// list takes away only what the same source had listed. It waits while the queue is full.
func (c *Coordinator) UpdateEndpoints(source string, kind scatter.UpdateKind, endpoints []Endpoint) {
	c.post(endpointUpdate{source: source, kind: kind, endpoints: endpoints})
}

// UpdateEndpointsPartially brings entries of a source's first list, of which further ones follow. They count at once,
// but the coordinator does not become Ready by them: UpdateEndpoints with the last entries makes it so. It waits while
// the queue is full.
func (c *Coordinator) UpdateEndpointsPartially(source string, endpoints []Endpoint) {
	c.post(endpointUpdate{source: source, kind: scatter.IncrementalUpdate, endpoints: endpoints, partial: true})
}

// merge takes an update into the endpoint table, notifies the module, and carries out what follows from the new table.
func (c *Coordinator) merge(u endpointUpdate) {
	event, mayWithhold := c.mergeTable(u)
	c.notify(event)
	c.afterMerge(u, mayWithhold)
}

// mergeTable takes an update into the endpoint table, and closes the idle connections to endpoints that it removes. It
// returns what the module is to hear. mayWithhold is true where the update may have made an endpoint unsendable.
func (c *Coordinator) mergeTable(u endpointUpdate) (event scatter.EndpointUpdate, mayWithhold bool) {
	before := map[string]listedEndpoint{} // those that the update may remove
	if u.isFull() {
		c.removeListed(u.source, before)
	}
	event.Kind, mayWithhold = c.eventKind(u), u.isFull()
	for _, e := range slices.Concat(u.endpoints, c.unlisted(u)) {
		before[e.ID] = c.endpoints.byID[e.ID]
		entry := listedEndpoint{e, u.source}
		if e.State == scatter.Removed {
			c.endpoints.remove(e.ID)
		} else {
			c.endpoints.put(entry)
		}
		c.logEndpointUpdated(e)
		mayWithhold = mayWithhold || !c.sendable(e.ID)
		event.Replicas = append(event.Replicas, c.effective(entry))
	}
	c.disconnectRemoved(before)
	if event.Kind == scatter.FullUpdate || event.Kind == scatter.CachedUpdate {
		event.Replicas = c.effectiveList()
	}
	return event, mayWithhold
}

// afterMerge carries out what follows from an update in the table, in this order: attempts are withheld, uncovered
// shards are warned of, and the list may come to count as known.
func (c *Coordinator) afterMerge(u endpointUpdate, mayWithhold bool) {
	if mayWithhold {
		c.withholdUnsendable()
	}
	if len(c.maintenance.register) > 0 {
		c.warnUncoveredShards()
	}
	c.noteListReadiness(u)
}

// eventKind is how the module hears of an update. The module takes a full list, a change or a failure for the answer to
// its own Subscribe, and would never subscribe if a source that it did not ask gave it one. So what comes from such a
// source is a cached list to it.
func (c *Coordinator) eventKind(u endpointUpdate) scatter.UpdateKind {
	if u.source != c.cfg.PolledSource {
		return scatter.CachedUpdate
	}
	return u.kind
}

// removeListed removes all that a source has listed and adds it to removed.
func (c *Coordinator) removeListed(source string, removed map[string]listedEndpoint) {
	for id, e := range c.endpoints.byID {
		if e.source == source {
			removed[id] = e
			c.endpoints.remove(id)
		}
	}
}

// unlisted lists the endpoints that the source of a list in pieces does not list any more, as removed.
func (c *Coordinator) unlisted(u endpointUpdate) (removed []Endpoint) {
	if u.listed == nil {
		return nil
	}
	for _, id := range c.endpoints.ids() {
		e := c.endpoints.byID[id]
		if _, listed := u.listed[id]; !listed && e.source == u.source {
			e.State = scatter.Removed
			removed = append(removed, e.Endpoint)
		}
	}
	return removed
}

// disconnectRemoved closes the idle connections to those endpoints that are not listed any more. One with an attempt
// out keeps its connection, which ends when it has been idle.
func (c *Coordinator) disconnectRemoved(before map[string]listedEndpoint) {
	for id, e := range before {
		if _, listed := c.endpoints.byID[id]; !listed {
			c.closeIdleConnections(e.Scheme, id)
		}
	}
}
