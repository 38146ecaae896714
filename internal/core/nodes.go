package core

import (
	"maps"
	"slices"

	"harepass/internal/decide/scatter"
)

// This file is the list of nodes, merged from what the sources tell.

// Endpoint is a replica with the way to reach it.
type Endpoint struct {
	scatter.Replica
	Address string
	Scheme  string // names the Caller that speaks to it
}

type listedNode struct {
	Endpoint
	source string
}

type listed struct {
	source string
	scope  scatter.UpdateKind
	nodes  []Endpoint
	more   bool                // further slices of the same list follow
	names  map[string]struct{} // in the last slice: all that the source lists; nil for a list of one piece
}

// UpdateEndpoints brings a source's list of nodes, its changes, or the news that it could not be had. A full list
// takes away only what the same source had named.
func (o *Coordinator) UpdateEndpoints(source string, scope scatter.UpdateKind, nodes []Endpoint) {
	o.post(listed{source: source, scope: scope, nodes: nodes})
}

// UpdateEndpointsPartially brings entries of a source's first list, of which further ones follow. They count at once, but the owner is
// not ready by them: Listed with the last ones makes it so.
func (o *Coordinator) UpdateEndpointsPartially(source string, nodes []Endpoint) {
	o.post(listed{source: source, scope: scatter.IncrementalUpdate, nodes: nodes, more: true})
}

// merge merges the sources. The module takes a list, its changes or a refusal for an answer to its own
// Subscribe, so a source that it did not ask comes in as remembered: with that it would never subscribe.
func (o *Coordinator) merge(m listed) {
	ev := scatter.EndpointUpdate{Kind: m.scope}
	if m.source != o.cfg.PolledSource {
		ev.Kind = scatter.CachedUpdate
	}
	before := map[string]listedNode{} // those that the list may take away
	whole := m.scope == scatter.FullUpdate || m.scope == scatter.CachedUpdate
	if whole {
		for id, n := range o.nodes {
			if n.source == m.source {
				before[id] = n
				o.removeNode(id)
			}
		}
	}
	leaving := whole
	for _, n := range slices.Concat(m.nodes, o.unnamed(m)) {
		if before[n.ID] = o.nodes[n.ID]; n.State == scatter.Removed { // the module is told, the owner forgets it
			o.removeNode(n.ID)
		} else {
			o.putNode(listedNode{n, m.source})
		}
		o.traceListed(n)
		leaving = leaving || !o.sendable(n.ID)
		ev.Replicas = append(ev.Replicas, o.told(listedNode{n, m.source}))
	}
	for id, n := range before { // what is out there still has its connection, which ends when it has been idle
		if _, here := o.nodes[id]; !here && o.cfg.Callers[n.Scheme] != nil {
			o.cfg.Callers[n.Scheme].CloseIdleConnections(id)
		}
	}
	if ev.Kind == scatter.FullUpdate || ev.Kind == scatter.CachedUpdate {
		ev.Replicas = o.replicas()
	}
	o.events = append(o.events, ev)
	if leaving {
		o.withholdLeaving()
	}
	if len(o.book) > 0 {
		o.warnBare()
	}
	if m.more {
		return
	}
	o.list = o.list || m.scope != scatter.CachedUpdate && m.source == o.cfg.PolledSource
	o.presume()
}

// presume lets the list that is remembered do after a while, once the source was asked for a newer one; whichever of the
// two came first.
func (o *Coordinator) presume() {
	if o.asked && !o.list && len(o.nodes) > 0 {
		o.asked = false
		o.deadlines.add(o.now+presumeAfter, func() { o.list = true })
	}
}

// replicas is the whole list as the module is to hear it.
func (o *Coordinator) replicas() (list []scatter.Replica) {
	for _, id := range slices.Sorted(maps.Keys(o.nodes)) {
		list = append(list, o.told(o.nodes[id]))
	}
	return list
}

// putNode enters a node, in the place of what was listed under its name.
func (o *Coordinator) putNode(n listedNode) {
	o.removeNode(n.ID)
	o.nodesMu.Lock()
	o.nodes[n.ID] = n
	o.nodesMu.Unlock()
	o.cells.add(n)
	o.cells.forShards(n.RingPosition, func(shard int) { delete(o.ables, shard) })
}

// removeNode takes a node off the list, if it is there.
func (o *Coordinator) removeNode(id string) {
	n, listed := o.nodes[id]
	if !listed {
		return
	}
	o.nodesMu.Lock()
	delete(o.nodes, id)
	o.nodesMu.Unlock()
	o.cells.remove(n)
	o.cells.forShards(n.RingPosition, func(shard int) { delete(o.ables, shard) })
}

// HasEndpoint tells whether some source lists a node; for any goroutine.
func (o *Coordinator) HasEndpoint(id string) bool {
	o.nodesMu.RLock()
	defer o.nodesMu.RUnlock()
	_, known := o.nodes[id]
	return known
}
