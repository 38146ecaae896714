package core

import (
	"maps"
	"slices"

	"harepass"
)

// This file is the list of nodes, merged from what the sources tell.

// Node is a replica with the way to reach it.
type Node struct {
	harepass.Replica
	Address string
	Scheme  string // names the Caller that speaks to it
}

type listedNode struct {
	Node
	source string
}

type listed struct {
	source string
	scope  harepass.ListScope
	nodes  []Node
}

// Listed brings a source's list of nodes, its changes, or the news that it could not be had. A full list
// takes away only what the same source had named.
func (o *Owner) Listed(source string, scope harepass.ListScope, nodes []Node) {
	o.post(listed{source, scope, nodes})
}

// apply merges the sources. The module takes a list, its changes or a refusal for an answer to its own
// Subscribe, so a source that it did not ask comes in as remembered: with that it would never subscribe.
func (m listed) apply(o *Owner) {
	ev := harepass.ListReceived{Scope: m.scope}
	if m.source != o.cfg.Asked {
		ev.Scope = harepass.ListRemembered
	}
	before := map[string]listedNode{} // those that the list may take away
	if m.scope == harepass.ListFull || m.scope == harepass.ListRemembered {
		for id, n := range o.nodes {
			if n.source == m.source {
				before[id] = n
				delete(o.nodes, id)
			}
		}
	}
	for _, n := range m.nodes {
		if before[n.ID] = o.nodes[n.ID]; n.State == harepass.Gone { // the module is told, the owner forgets it
			delete(o.nodes, n.ID)
		} else {
			o.nodes[n.ID] = listedNode{n, m.source}
		}
		o.traceListed(n)
		ev.Replicas = append(ev.Replicas, o.book.Told(n.Replica))
	}
	for id, n := range before { // what is out there still has its connection, which ends when it has been idle
		if _, here := o.nodes[id]; !here && o.cfg.Callers[n.Scheme] != nil {
			o.cfg.Callers[n.Scheme].Disconnect(id)
		}
	}
	if ev.Scope == harepass.ListFull || ev.Scope == harepass.ListRemembered {
		ev.Replicas = o.replicas()
	}
	o.events = append(o.events, ev)
	o.withholdLeaving()
	o.noteList()
	clear(o.ables)
	o.list = o.list || m.scope != harepass.ListRemembered && m.source == o.cfg.Asked
	o.presume()
}

// presume lets the list that is remembered do after a while, once the source was asked for a newer one; whichever of the
// two came first.
func (o *Owner) presume() {
	if o.asked && !o.list && len(o.nodes) > 0 {
		o.asked = false
		o.deadlines.add(o.now+presumeAfter, func() { o.list = true })
	}
}

// replicas is the whole list as the module is to hear it.
func (o *Owner) replicas() (list []harepass.Replica) {
	for _, id := range slices.Sorted(maps.Keys(o.nodes)) {
		list = append(list, o.book.Told(o.nodes[id].Replica))
	}
	return list
}

// noteList makes the list known to other goroutines.
func (o *Owner) noteList() {
	known := make(map[string]struct{}, len(o.nodes))
	for id := range o.nodes {
		known[id] = struct{}{}
	}
	o.known.Store(&known)
	if len(o.book) > 0 {
		o.warnBare()
	}
}
