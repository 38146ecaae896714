package core

import "sync/atomic"

// Bytes that an open query and a part are counted with for the maps of coordinator and module. Bodies and values are
// counted besides, by their length.
const (
	queryOverheadBytes = 2 << 10
	partOverheadBytes  = 1 << 10
)

// openQueries holds the queries that have not been answered, and the parts that are under way. A part stays until its
// query is over and its last attempt has ended, for outcomes of attempts still reach the module.
type openQueries struct {
	byID        map[string]*query      // open queries by the module's id
	byQuery     map[*Query]*query      // open queries by what the front handed over
	firstPhases map[string]*firstPhase // first phases of open queries by the module's id
	parts       map[string]*part       // parts by the module's id, and first phases of parts
	lastNumber  int64                  // number of the query or first phase that was opened last
	count       int                    // open queries and parts; a first phase counts as a query with parts of its own
	bytes       int64                  // bytes that open queries take, as far as they are counted

	// limitsShared is set while another process of the same coordinator serves beside this one. Any goroutine may use
	// it.
	limitsShared atomic.Bool
}

func newOpenQueries() openQueries {
	return openQueries{byID: map[string]*query{}, byQuery: map[*Query]*query{}, firstPhases: map[string]*firstPhase{},
		parts: map[string]*part{}}
}

// openSize is what a query of so many parts counts toward the limit.
func openSize(parts int) int { return 1 + parts }

// nextNumber numbers a query or first phase that is to be opened.
func (o *openQueries) nextNumber() int64 {
	o.lastNumber++
	return o.lastNumber
}

// add counts a query that is accepted; its parts follow.
func (o *openQueries) add(q *query) {
	o.count += openSize(len(q.Parts))
	o.byID[q.moduleID], o.byQuery[q.Query] = q, q
	o.addBytes(q, int64(queryOverheadBytes+len(q.Body)+partOverheadBytes*len(q.Parts)))
}

// addPart adds a part to its query.
func (o *openQueries) addPart(p *part) {
	p.query.parts = append(p.query.parts, p)
	o.parts[p.id] = p
}

// addFirstPhase opens a first phase with its parts.
func (o *openQueries) addFirstPhase(f *firstPhase) {
	o.firstPhases[f.id] = f
	for _, p := range f.parts {
		o.parts[p.id] = p
	}
	o.count += openSize(len(f.parts))
}

// removeFirstPhase ends a first phase; its parts stay until removePart.
func (o *openQueries) removeFirstPhase(f *firstPhase) {
	delete(o.firstPhases, f.id)
	o.count -= openSize(len(f.parts))
}

// addBytes counts bytes that an open query takes.
func (o *openQueries) addBytes(q *query, bytes int64) {
	q.bytes += bytes
	o.bytes += bytes
}

// remove ends a query; its parts stay until removePart.
func (o *openQueries) remove(q *query) {
	delete(o.byID, q.moduleID)
	delete(o.byQuery, q.Query)
	o.count -= openSize(len(q.parts))
	o.bytes -= q.bytes
}

// removePart forgets a part whose query is over, if it has no attempt out.
func (o *openQueries) removePart(p *part) {
	if o.isOpen(p.query) {
		return
	}
	for _, at := range p.attempts {
		if !at.ended {
			return
		}
	}
	delete(o.parts, p.id)
}

// isOpen reports whether a query has no final answer yet and its client has not left.
func (o *openQueries) isOpen(q *query) bool { return o.byID[q.moduleID] != nil }

// SetLimitsShared sets whether another process of the same coordinator serves beside this one: what may be open is
// for both. Any goroutine may call it.
func (c *Coordinator) SetLimitsShared(shared bool) { c.open.limitsShared.Store(shared) }

// openLimit is how many queries and parts may be open; 0 for no limit.
func (c *Coordinator) openLimit() int {
	limit := c.inForce().limits.MaxOpen
	if limit > 0 && c.open.limitsShared.Load() {
		return max(1, limit/2)
	}
	return limit
}

// exceedsOpenLimit reports whether a query or first phase of so many parts may not be opened for the limit.
func (c *Coordinator) exceedsOpenLimit(parts int) bool {
	limit := c.openLimit()
	return limit > 0 && c.open.count+openSize(parts) > limit
}
