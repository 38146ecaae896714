package core

import (
	"slices"

	"harepass/internal/decide/scatter"
)

// endpointUpdate is an update of a source's list, or one piece of a list that is split.
type endpointUpdate struct {
	source    string
	kind      scatter.UpdateKind
	endpoints []Endpoint
	partial   bool // more pieces of the same list follow

	// listed contains all ids of the source's list. It is set only in the last piece of a list that is split.
	listed map[string]struct{}
}

// isFull reports whether the update lists all endpoints of its source.
func (u endpointUpdate) isFull() bool {
	return u.kind == scatter.FullUpdate || u.kind == scatter.CachedUpdate
}

// UpdateEndpoints delivers a source's full list of endpoints, changes to it, or the notice that the list is
// unavailable. Each endpoint belongs to the source that listed it last. A full list removes the endpoints of its source
// that it lacks, but none of other sources. An entry in the state Removed removes its endpoint whatever its source.
// UpdateEndpoints waits while the queue is full.
func (c *Coordinator) UpdateEndpoints(source string, kind scatter.UpdateKind, endpoints []Endpoint) {
	c.post(endpointUpdate{source: source, kind: kind, endpoints: endpoints})
}

// UpdateEndpointsPartially delivers some entries of a source's first list, with more to follow. The entries take effect
// at once, but do not themselves make the coordinator Ready. The caller delivers the last entries by UpdateEndpoints as
// an IncrementalUpdate, which does; a FullUpdate would remove the entries delivered before. UpdateEndpointsPartially
// waits while the queue is full.
func (c *Coordinator) UpdateEndpointsPartially(source string, endpoints []Endpoint) {
	c.post(endpointUpdate{source: source, kind: scatter.IncrementalUpdate, endpoints: endpoints, partial: true})
}

// merge applies an update to the endpoint table, notifies the decision module, and handles the consequences of the new
// table.
func (c *Coordinator) merge(u endpointUpdate) {
	event, mayWithhold := c.mergeTable(u)
	c.notify(event)
	c.afterMerge(u, mayWithhold)
}

// mergeTable applies an update to the endpoint table and closes the idle connections to endpoints that it removes. It
// returns the event for the decision module. mayWithhold is true if some endpoint may no longer be sendable
// (Coordinator.sendable) after the update.
func (c *Coordinator) mergeTable(u endpointUpdate) (event scatter.EndpointUpdate, mayWithhold bool) {
	before := map[string]listedEndpoint{} // former entries, for disconnectRemoved; zero for ids not in the table
	if u.isFull() {
		c.removeListed(u.source, before)
	}
	event.Kind, mayWithhold = c.eventKind(u), u.isFull()
	for _, e := range slices.Concat(u.endpoints, c.missingFromList(u)) {
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

// afterMerge handles the consequences of a merged update: it withholds attempts, logs uncovered shards, and checks
// whether the list now counts as known.
func (c *Coordinator) afterMerge(u endpointUpdate, mayWithhold bool) {
	if mayWithhold {
		c.withholdUnsendable()
	}
	if len(c.maintenance.register) > 0 {
		c.warnUncoveredShards()
	}
	c.noteListReadiness(u)
}

// eventKind returns the update kind to report to the decision module. The module treats a full list, a change or a
// failure as the answer to its own Subscribe, so such an update from a source that it did not ask would keep it from
// ever subscribing. Updates from those sources are therefore reported as cached lists.
func (c *Coordinator) eventKind(u endpointUpdate) scatter.UpdateKind {
	if u.source != c.cfg.PolledSource {
		return scatter.CachedUpdate
	}
	return u.kind
}

// removeListed removes all endpoints that a source was the last to list, and adds them to removed. mergeTable then puts
// back those that the source's new list contains.
func (c *Coordinator) removeListed(source string, removed map[string]listedEndpoint) {
	for id, e := range c.endpoints.byID {
		if e.source == source {
			removed[id] = e
			c.endpoints.remove(id)
		}
	}
}

// missingFromList returns, with the state Removed, the endpoints of a source that are missing from its list if that
// came in pieces. It returns nil unless the update is the last of these pieces.
func (c *Coordinator) missingFromList(u endpointUpdate) (removed []Endpoint) {
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

// disconnectRemoved closes the idle connections to endpoints that are no longer listed. A connection with an
// outstanding attempt stays open; its Caller closes it later.
func (c *Coordinator) disconnectRemoved(before map[string]listedEndpoint) {
	for id, e := range before {
		if _, listed := c.endpoints.byID[id]; !listed {
			c.closeIdleConnections(e.Scheme, id)
		}
	}
}
