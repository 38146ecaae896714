package core

import "sync/atomic"

// Estimated overhead in bytes of an open query and of a part, for the maps of coordinator and module. Bodies and values
// are added by their length.
const (
	queryOverheadBytes = 2 << 10
	partOverheadBytes  = 1 << 10
)

// openQueries holds the unanswered queries and the parts in progress. A part stays until its query is over and its last
// attempt has ended, because outcomes of attempts must still reach the decision module.
type openQueries struct {
	byID        map[string]*query      // open queries by the module's id
	byQuery     map[*Query]*query      // open queries by the Query that the front submitted
	firstPhases map[string]*firstPhase // first phases of open queries by the module's id
	parts       map[string]*part       // parts by the module's id, including those of first phases
	lastNumber  int64                  // number of the most recently opened query or first phase
	count       int                    // open queries and parts; a first phase counts as a query with its own parts
	bytes       int64                  // estimated bytes of open queries; see addBytes

	// limitsShared is set while another process of the same coordinator serves in parallel with this one. Any goroutine
	// may use it.
	limitsShared atomic.Bool
}

func newOpenQueries() openQueries {
	return openQueries{byID: map[string]*query{}, byQuery: map[*Query]*query{}, firstPhases: map[string]*firstPhase{},
		parts: map[string]*part{}}
}

// openSize returns what a query with the given number of parts counts toward the open limit.
func openSize(parts int) int { return 1 + parts }

// nextNumber returns the number for the next query or first phase to open.
func (o *openQueries) nextNumber() int64 {
	o.lastNumber++
	return o.lastNumber
}

// add adds an accepted query; addPart then adds its parts.
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

// addFirstPhase adds a first phase with its parts.
func (o *openQueries) addFirstPhase(f *firstPhase) {
	o.firstPhases[f.id] = f
	for _, p := range f.parts {
		o.parts[p.id] = p
	}
	o.count += openSize(len(f.parts))
}

// removeFirstPhase removes a first phase; its parts stay until removePart.
func (o *openQueries) removeFirstPhase(f *firstPhase) {
	delete(o.firstPhases, f.id)
	o.count -= openSize(len(f.parts))
}

// addBytes adds bytes to the estimate for an open query.
func (o *openQueries) addBytes(q *query, bytes int64) {
	q.bytes += bytes
	o.bytes += bytes
}

// remove removes a query; its parts stay until removePart.
func (o *openQueries) remove(q *query) {
	delete(o.byID, q.moduleID)
	delete(o.byQuery, q.Query)
	o.count -= openSize(len(q.parts))
	o.bytes -= q.bytes
}

// removePart removes a part if its query is over and none of its attempts is outstanding.
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

// SetLimitsShared sets whether another process of the same coordinator serves in parallel with this one, so that both
// share the open limit. Any goroutine may call it.
func (c *Coordinator) SetLimitsShared(shared bool) { c.open.limitsShared.Store(shared) }

// openLimit returns how many queries and parts may be open; 0 for no limit.
func (c *Coordinator) openLimit() int {
	limit := c.inForce().limits.MaxOpen
	if limit > 0 && c.open.limitsShared.Load() {
		return max(1, limit/2)
	}
	return limit
}

// exceedsOpenLimit reports whether opening a query or first phase with the given number of parts would exceed the
// limit.
func (c *Coordinator) exceedsOpenLimit(parts int) bool {
	limit := c.openLimit()
	return limit > 0 && c.open.count+openSize(parts) > limit
}
