package core

import (
	"cmp"
	"maps"
	"slices"

	"harepass/internal/decide/scatter"
)

// This file takes a long list in slices, one to a turn, so that no query waits for the whole of it.

// sliceSize is how many entries of a list are taken in one turn.
const sliceSize = 256

// apply takes a list at once, or its first slice. What comes while slices are left waits behind them.
func (m listed) apply(o *Coordinator) {
	waiting := len(o.lists) > 0
	o.lists = append(o.lists, o.sliced(m)...)
	if !waiting {
		o.takeList()
	}
}

// takeList takes what is next, up to a turn's share, and sees that the rest has turns of its own.
func (o *Coordinator) takeList() {
	for left := sliceSize; len(o.lists) > 0 && (left == sliceSize || len(o.lists[0].nodes) <= left); {
		m := o.lists[0]
		o.lists = o.lists[1:]
		o.merge(m)
		left -= max(1, len(m.nodes))
	}
	if len(o.lists) > 0 {
		o.deadlines.add(o.now+1, o.takeList) // not due in this turn any more
	}
}

// takeLists takes all that is left.
func (o *Coordinator) takeLists() {
	for _, m := range o.lists {
		o.merge(m)
	}
	o.lists = nil
}

// sliced cuts a whole list of the source that the module has asked into changes; all else stays in one piece. The entries
// come in the order of their names, as in a whole list that the module hears. Only the last slice takes away what the list
// does not name, and only with it the list is known.
func (o *Coordinator) sliced(m listed) []listed {
	if m.scope != scatter.FullUpdate || m.source != o.cfg.PolledSource || len(m.nodes) <= sliceSize {
		return []listed{m}
	}
	names := make(map[string]struct{}, len(m.nodes))
	for _, n := range m.nodes {
		names[n.ID] = struct{}{}
	}
	sorted := slices.Clone(m.nodes)
	slices.SortStableFunc(sorted, func(x, y Endpoint) int { return cmp.Compare(x.ID, y.ID) })
	var list []listed
	for part := range slices.Chunk(sorted, sliceSize) {
		list = append(list, listed{source: m.source, scope: scatter.IncrementalUpdate, nodes: part, more: true})
	}
	last := &list[len(list)-1]
	last.more, last.names = false, names
	return list
}

// unnamed is what the source's list does not name any more, as gone.
func (o *Coordinator) unnamed(m listed) (gone []Endpoint) {
	if m.names == nil {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(o.nodes)) {
		n := o.nodes[id]
		if _, named := m.names[id]; !named && n.source == m.source {
			n.State = scatter.Removed
			gone = append(gone, n.Endpoint)
		}
	}
	return gone
}
