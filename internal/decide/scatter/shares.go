package scatter

import (
	"math"
	"slices"
	"time"
)

const (
	// capShares and floorShares bound a usable holder's traffic, as multiples of an equal share of its shard's traffic:
	// floorShares that of each class, capShares that of all classes together.
	capShares   = 1.2
	floorShares = 0.5
	// tieBand is the relative difference up to which latency ratios count as equal: less than the spread of a single
	// part's latency.
	tieBand = 0.1
	// rateMemory is the share of a moving rate that remains at each periodic rebalance: a memory of about five
	// intervals.
	rateMemory = 0.8

	// rebalanceInterval is the time between two periodic rebalances.
	rebalanceInterval = time.Second
)

// shard is the state of one shard in use.
type shard struct {
	number int
	// readyHolders are the holders listed as Ready, ejected or not, ordered by their keys in this coordinator's subset.
	readyHolders []*replica
	subsetSize   int  // how many readyHolders, from the first on, are in the subset or stand in for unusable ones there
	medianRatio  memo // median latency ratio of the usable subsetHolders

	arrived         []float64   // parts by class since the last periodic rebalance
	rates           []float64   // parts by class: a decaying sum, about five times the parts of one rebalance interval
	decays          int         // how many periodic rebalances have been applied to rates
	shares          [][]float64 // routing shares, by class, then holder; a class sums to 1, or to 0 if none is usable
	sharesRebalance int         // number of the rebalance that the shares are from
}

// subsetHolders returns the ready holders in this coordinator's subset.
func (s *shard) subsetHolders() []*replica { return s.readyHolders[:s.subsetSize] }

// shardTable holds the shards in use.
type shardTable struct {
	byNumber map[int]*shard
	inUse    []*shard // in order of first use
	outdated int      // how many of them still have shares from before the latest rebalance
}

// shareState records when shares are recomputed, and from what the latest rebalance computes them.
type shareState struct {
	rebalances    int           // how many rebalances there were, periodic or not
	periods       int           // how many periodic ones there were, at which rates decay
	nextRebalance time.Duration // when the next periodic one is due
	dirty         bool          // rebalance pending: settings, endpoints or ejected replicas changed, or Restore ran
	basis         shareBasis    // of the latest rebalance
}

// shareBasis holds what the shares of a rebalance are computed from, besides latency ratios, rates and health.
type shareBasis struct {
	at    time.Duration
	means []float64 // mean latencies by class, in seconds
}

// due reports whether the next periodic rebalance is due.
func (s *shareState) due(now time.Duration) bool { return now >= s.nextRebalance }

// rebalance makes the shares of all shards outdated; each shard's are recomputed when they are next used. A periodic
// rebalance also raises the trusted idle time, updates traffic rates and quantiles, drops expired entries of the retry
// budget, and forgets replicas that were removed long ago.
func (m *Machine) rebalance() {
	if m.shares.due(m.now) {
		m.shares.nextRebalance = m.now + rebalanceInterval
		m.shares.periods++
		m.idleConnections.relax()
		warmedUp := m.replicas.count(func(r *replica) bool {
			return m.sendsTo(r) && m.capacityFraction(r, m.now) == 1
		})
		m.traffic.renew(warmedUp)
		m.retries.expire(m.now)
		m.pruneRemoved()
		for _, c := range m.classes.list {
			c.updateQuantiles()
		}
	}
	m.shares.dirty = false
	m.updatePlacement()
	m.shares.rebalances++
	m.shards.outdated, m.shares.basis = len(m.shards.inUse), m.currentBasis()
}

// currentBasis returns the basis of a rebalance at the present time.
func (m *Machine) currentBasis() shareBasis {
	b := shareBasis{at: m.now}
	for _, c := range m.classes.list {
		b.means = append(b.means, c.meanLatency)
	}
	return b
}

// shardOf returns a shard, created at its first use, with up-to-date rates and, while queries are advanced, up-to-date
// shares. It refreshes no shares while a rebalance is pending: between two calls of Step, Configure may have changed
// the classes since the basis was made, and Restore uses shards then.
func (m *Machine) shardOf(number int) *shard {
	s := m.shards.byNumber[number]
	if s == nil {
		s = m.newShard(number)
	}
	s.decay(m.shares.periods)
	if m.healthFixed && !m.shares.dirty {
		m.refreshShares(s)
	}
	return s
}

// newShard adds a shard at its first use.
func (m *Machine) newShard(number int) *shard {
	n := len(m.classes.list)
	s := &shard{
		number:          number,
		sharesRebalance: m.shares.rebalances,
		decays:          m.shares.periods,
		arrived:         make([]float64, n),
		rates:           make([]float64, n),
		shares:          make([][]float64, n),
	}
	m.shards.byNumber[number] = s
	m.shards.inUse = append(m.shards.inUse, s)
	m.replicas.ring.addShard(s)
	m.computeShares(s, m.currentBasis())
	return s
}

// refreshShares recomputes a shard's shares if they are from before the latest rebalance. The result is the same as at
// the time of that rebalance: each input is in the basis, stays unchanged until the next rebalance, or changes only
// after refreshSharesOf.
func (m *Machine) refreshShares(s *shard) {
	if s.sharesRebalance == m.shares.rebalances {
		return
	}
	s.sharesRebalance = m.shares.rebalances
	m.shards.outdated--
	s.decay(m.shares.periods)
	m.computeShares(s, m.shares.basis)
}

// refreshSharesOf refreshes the shares of all shards of a replica, before a change to the replica that these shares
// depend on. It does nothing if this step is going to rebalance anyway.
func (m *Machine) refreshSharesOf(r *replica) {
	if m.shards.outdated > 0 && !m.shares.dirty {
		m.replicas.ring.shardsOf(r.RingPosition, m.refreshShares)
	}
}

// decay applies the periodic rebalances up to the given count to a shard's rates. It stops after one that leaves all
// rates unchanged, as when all are 0.
func (s *shard) decay(to int) {
	for changed := true; changed && s.decays < to; s.decays++ {
		changed = false
		for k, rate := range s.rates {
			s.rates[k] = rateMemory*rate + s.arrived[k]
			changed = changed || s.rates[k] != rate
			s.arrived[k] = 0
		}
	}
	s.decays = to
}

// computeShares divides a shard's traffic among its holders, class by class, beginning with the class of the tightest
// objective. The first class whose mean latency would exceed its objective moves to the front, unless it is there
// already, and the shares are computed again, in all at most as many times as there are classes. It is enough to check
// each shard on its own: a query's slowest part exceeds the objective exactly if a part at some shard does. The check
// compares mean latencies only.
func (m *Machine) computeShares(s *shard, basis shareBasis) {
	m.examined.shards++
	m.updateHolders(s)
	order := append(m.scratch.order[:0], m.classes.list...)
	m.scratch.order = order
	slices.SortStableFunc(order, func(x, y *class) int { return int(x.LatencyObjective - y.LatencyObjective) })
	for range order {
		m.fillShares(s, order, basis.at)
		late := slices.IndexFunc(order, func(c *class) bool {
			return s.meanLatency(c, basis.means[c.index]) > c.LatencyObjective.Seconds()
		})
		if late <= 0 {
			return
		}
		c := order[late]
		order = slices.Insert(slices.Delete(order, late, late+1), 0, c)
	}
}

// meanLatency returns the expected latency of a class at a shard under the present shares, in seconds; 0 if no holder
// is usable. mean is the mean latency of the class as of the rebalance.
func (s *shard) meanLatency(c *class, mean float64) (sum float64) {
	for i, r := range s.readyHolders {
		sum += s.shares[c.index][i] * r.latencyRatio * mean
	}
	return sum
}

// fillShares gives each usable holder in the subset its floor of each class. It divides the rest, class by class, among
// the holders with the lowest latency ratios, up to their caps.
func (m *Machine) fillShares(s *shard, order []*class, at time.Duration) {
	equal := m.equalShares(s, at)
	rate := 0.0
	for _, v := range s.rates {
		rate += max(v, weightSlack)
	}
	capacity := resize(&m.scratch.capacity, len(s.readyHolders)) // parts that each holder may get beyond its floors
	for i := range equal {
		capacity[i] = (capShares - floorShares) * equal[i] * rate
	}
	for _, c := range order {
		shares := resize(&s.shares[c.index], len(s.readyHolders))
		for i := range shares {
			shares[i] = floorShares * equal[i]
		}
		m.fillClass(s, shares, capacity, max(s.rates[c.index], weightSlack))
	}
}

// equalShares returns equal shares for a shard's usable holders in the subset, except that holders in slow start get
// shares in proportion to their capacity.
func (m *Machine) equalShares(s *shard, at time.Duration) []float64 {
	equal, total := resize(&m.scratch.equal, len(s.readyHolders)), 0.0
	for i, r := range s.readyHolders {
		equal[i] = 0
		if i < s.subsetSize && r.usable() {
			equal[i] = m.capacityFraction(r, at)
			total += equal[i]
		}
	}
	for i := range equal {
		equal[i] /= max(total, math.SmallestNonzeroFloat64)
	}
	return equal
}

// fillClass divides what the floors leave of a class's demand among the holders with the lowest latency ratios, as far
// as their capacity allows.
func (m *Machine) fillClass(s *shard, shares, capacity []float64, demand float64) {
	left := (1 - floorShares) * demand
	for left > weightSlack*demand {
		tied, tiedCapacity := s.leastLatency(capacity, m.scratch.tied[:0])
		m.scratch.tied = tied
		if len(tied) == 0 {
			return
		}
		give := min(left, tiedCapacity)
		for _, i := range tied {
			part := give * capacity[i] / tiedCapacity
			capacity[i] -= part
			if give == tiedCapacity {
				capacity[i] = 0
			}
			shares[i] += part / demand
		}
		left -= give
	}
}

// leastLatency returns the holders with capacity left whose latency ratio ties with the lowest one, and their total
// capacity.
func (s *shard) leastLatency(capacity []float64, tied []int) (_ []int, tiedCapacity float64) {
	low := math.Inf(1)
	for i, r := range s.readyHolders {
		if capacity[i] > 0 {
			low = min(low, r.latencyRatio)
		}
	}
	for i, r := range s.readyHolders {
		if capacity[i] > 0 && r.latencyRatio <= low*(1+tieBand) {
			tied = append(tied, i)
			tiedCapacity += capacity[i]
		}
	}
	return tied, tiedCapacity
}

// resize returns a list of n entries and reuses the list's memory if that is large enough. The entries are not cleared.
func resize(list *[]float64, n int) []float64 {
	*list = slices.Grow((*list)[:0], n)[:n]
	return *list
}
