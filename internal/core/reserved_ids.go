package core

// reservedIDs are the ids that clients gave to queries for which replicas may still work, answered or not. Replicas
// know a part by its query's id, and would take one query's part for another's.
type reservedIDs map[string]struct{}

// contains reports whether another query with the id has to be refused.
func (r reservedIDs) contains(id string) bool {
	_, reserved := r[id]
	return reserved
}

// reserveID refuses other queries with the id of q until the time of q's client is over, and the attempts that are
// cancelled then have ended.
func (c *Coordinator) reserveID(q *query) {
	c.reservedIDs[q.ID] = struct{}{}
	c.timers.add(q.Deadline+answerGrace+cancelGrace, func() { delete(c.reservedIDs, q.ID) })
}
