package core

import (
	"cmp"
	"slices"

	"harepass/internal/decide/scatter"
)

// maxEntriesPerTick is how many entries of endpoint lists one tick merges, so that a long list does not delay queries.
const maxEntriesPerTick = 256

// pendingUpdates queues, in order, the endpoint updates that later ticks will merge.
type pendingUpdates struct{ queue []endpointUpdate }

// add queues the pieces of an update and reports whether the queue was empty before.
func (p *pendingUpdates) add(pieces []endpointUpdate) (first bool) {
	first = len(p.queue) == 0
	p.queue = append(p.queue, pieces...)
	return first
}

// takeNext removes and returns the next update.
func (p *pendingUpdates) takeNext() endpointUpdate {
	u := p.queue[0]
	p.queue = p.queue[1:]
	return u
}

// apply merges the update, or the first piece of a split list. An update that arrives while pieces are pending waits
// behind them.
func (u endpointUpdate) apply(c *Coordinator) {
	if c.updates.add(c.split(u)) {
		c.mergePending()
	}
}

// mergePending merges pending updates, up to maxEntriesPerTick entries, and schedules another tick for the rest. An
// update with more entries than that is merged in a tick without others.
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
		c.timers.add(c.now+1, c.mergePending) // a timer for c.now would run in this tick
	}
}

// mergeAllPending merges all pending updates.
func (c *Coordinator) mergeAllPending() {
	for _, u := range c.updates.queue {
		c.merge(u)
	}
	c.updates.queue = nil
}

// split divides a long full list of the polled source into incremental updates; any other update stays in one piece.
// The entries are sorted by id, as in a full list that the decision module gets. Only the last piece removes endpoints
// that are missing from the list, and only with it does the list count as known.
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
