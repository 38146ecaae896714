package core

import (
	"cmp"
	"slices"

	"harepass/internal/decide/scatter"
)

// maxEntriesPerTick is how many entries of endpoint lists are taken in by one tick, so that no query waits for a long
// list.
const maxEntriesPerTick = 256

// pendingUpdates are the endpoint updates that wait for a tick of their own, in order.
type pendingUpdates struct{ queue []endpointUpdate }

// add queues the pieces of an update and reports whether they are the first.
func (p *pendingUpdates) add(pieces []endpointUpdate) (first bool) {
	first = len(p.queue) == 0
	p.queue = append(p.queue, pieces...)
	return first
}

// takeNext removes and returns the update that is next.
func (p *pendingUpdates) takeNext() endpointUpdate {
	u := p.queue[0]
	p.queue = p.queue[1:]
	return u
}

// apply takes an update in at once, or its first piece. What comes while pieces are pending waits behind them.
func (u endpointUpdate) apply(c *Coordinator) {
	if c.updates.add(c.split(u)) {
		c.mergePending()
	}
}

// mergePending takes in what is pending, up to a tick's share, and has the rest taken in by ticks of its own. A piece
// that is longer than the share is taken in alone.
func (c *Coordinator) mergePending() {
	pending := &c.updates
	for left := maxEntriesPerTick; len(pending.queue) > 0; {
		if left < maxEntriesPerTick && len(pending.queue[0].endpoints) > left {
			break
		}
		u := pending.takeNext()
		c.merge(u)
		left -= max(1, len(u.endpoints))
	}
	if len(pending.queue) > 0 {
		c.timers.add(c.now+1, c.mergePending) // a timer for now would run in this tick
	}
}

// mergeAllPending takes in all that is pending.
func (c *Coordinator) mergeAllPending() {
	for _, u := range c.updates.queue {
		c.merge(u)
	}
	c.updates.queue = nil
}

// split cuts a long full list of the polled source into changes; all else stays in one piece. The entries come in the
// order of their ids, as in a full list that the module hears. Only the last piece removes what the list does not name,
// and only with it the list is known.
func (c *Coordinator) split(u endpointUpdate) []endpointUpdate {
	if u.kind != scatter.FullUpdate || u.source != c.cfg.PolledSource || len(u.endpoints) <= maxEntriesPerTick {
		return []endpointUpdate{u}
	}
	listed := make(map[string]struct{}, len(u.endpoints))
	for _, e := range u.endpoints {
		listed[e.ID] = struct{}{}
	}
	sorted := slices.Clone(u.endpoints)
	slices.SortStableFunc(sorted, func(x, y Endpoint) int { return cmp.Compare(x.ID, y.ID) })
	var pieces []endpointUpdate
	for piece := range slices.Chunk(sorted, maxEntriesPerTick) {
		pieces = append(pieces, endpointUpdate{source: u.source, kind: scatter.IncrementalUpdate, endpoints: piece,
			partial: true})
	}
	last := &pieces[len(pieces)-1]
	last.partial, last.listed = false, listed
	return pieces
}
