package core

import (
	"hash/maphash"
	"time"
)

const (
	// idRetention is the least time for which an id stays reserved after its query was accepted. Ids are fresh on every
	// request, so one that comes again is the same request: its first attempts may have run, or may yet.
	idRetention = time.Minute
	// maxReservedIDs is the number of ids in a generation above which older ones are forgotten before idRetention, but
	// not before their clients' time is over.
	maxReservedIDs = 32 << 10
)

// reservedIDs holds the ids of recent queries, answered or not, so that another query with the same id is refused.
// Replicas identify a part by its query's id: they would confuse parts of two queries, and a part could run twice. The
// ids are kept as hashes in two generations, and the older generation is forgotten as a whole.
type reservedIDs struct {
	seed          maphash.Seed
	recent, older idGeneration
}

// idGeneration holds the ids of the queries that were accepted during some time.
type idGeneration struct {
	hashes        map[uint64]struct{}
	keptUntil     time.Duration // when idRetention is over for all ids
	requiredUntil time.Duration // when the time of all clients is over, and all attempts have ended
}

func newIDGeneration() idGeneration { return idGeneration{hashes: map[uint64]struct{}{}} }

func newReservedIDs() reservedIDs {
	return reservedIDs{seed: maphash.MakeSeed(), recent: newIDGeneration(), older: newIDGeneration()}
}

// contains reports whether the id is taken, so that another query with it must be refused.
func (r *reservedIDs) contains(id string, now time.Duration) bool {
	r.expire(now)
	hash := maphash.String(r.seed, id)
	_, recent := r.recent.hashes[hash]
	_, older := r.older.hashes[hash]
	return recent || older
}

// add reserves an id for idRetention, and until an instant at least.
func (r *reservedIDs) add(id string, now, until time.Duration) {
	r.expire(now)
	r.recent.hashes[maphash.String(r.seed, id)] = struct{}{}
	r.recent.keptUntil = now + idRetention
	r.recent.requiredUntil = max(r.recent.requiredUntil, until)
}

// expire forgets the older generation when its time is over, and begins a new one.
func (r *reservedIDs) expire(now time.Duration) {
	full := len(r.recent.hashes) >= maxReservedIDs
	if now < r.older.requiredUntil || now < r.older.keptUntil && !full {
		return
	}
	r.older, r.recent = r.recent, newIDGeneration()
}

// size returns the number of reserved ids.
func (r *reservedIDs) size() int { return len(r.recent.hashes) + len(r.older.hashes) }

// reserveID reserves the id of q, at least until q's deadline has passed and the attempts that are cancelled then have
// ended.
func (c *Coordinator) reserveID(q *query) {
	c.reservedIDs.add(q.ID, c.now, q.Deadline+answerGrace+cancelGrace)
}
