package scatter

import (
	"math"
	"slices"
	"time"
)

const (
	// capShares and floorShares bound a ready replica's routing share, in equal shares of its shard's traffic.
	capShares   = 1.2
	floorShares = 0.5
	// tieBand is how close latency ratios are, as a share, to count as equal: less than one part's own spread.
	tieBand = 0.1
	// rateMemory is the share of a moving rate that remains at each periodic rebalance: a memory of some five
	// intervals.
	rateMemory = 0.8

	// rebalanceInterval is the time between two periodic rebalances.
	rebalanceInterval = time.Second
)

// shard is what the machine knows of one shard in use.
type shard struct {
	number int
	// readyHolders are the holders listed as Ready, ejected or not, in the order of their keys in this coordinator's
	// subset.
	readyHolders []*replica
	subsetSize   int  // how many readyHolders, from the first on, are sent to while that will do
	medianRatio  memo // median latency ratio of readyHolders

	arrived     []float64   // parts by class since the last periodic rebalance
	rates       []float64   // parts by class and rebalance interval, decayed
	decays      int         // periodic rebalances that the rates have been through
	shares      [][]float64 // routing shares, by class, then holder; those of a class sum to 1
	rebalancing int         // the rebalance that the shares are of
}

// subsetHolders are the ready holders that this coordinator sends to.
func (s *shard) subsetHolders() []*replica { return s.readyHolders[:s.subsetSize] }

// shardTable holds the shards in use.
type shardTable struct {
	byNumber map[int]*shard
	inUse    []*shard // in order of first use
	outdated int      // how many of them have shares from before the latest rebalance
}

// shareState says when shares are renewed, and what those of the latest rebalance go by.
type shareState struct {
	rebalances    int           // so many there were, for whatever reason
	periods       int           // so many periodic ones, at which rates decay
	nextRebalance time.Duration // the next periodic one
	dirty         bool          // the endpoint list or a replica's health has changed since the last rebalance
	basis         shareBasis    // of the latest rebalance
}

// shareBasis is what the shares of a rebalance go by, besides latency ratios, rates and health.
type shareBasis struct {
	at    time.Duration
	means []float64 // mean latencies by class, in seconds
}

// due reports whether the next periodic rebalance is due.
func (s *shareState) due(now time.Duration) bool { return now >= s.nextRebalance }

// rebalance renews rates, quantiles and all shares.
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

// currentBasis is the basis of a rebalance now.
func (m *Machine) currentBasis() shareBasis {
	b := shareBasis{at: m.now}
	for _, c := range m.classes.list {
		b.means = append(b.means, c.meanLatency)
	}
	return b
}

// shardOf is a shard with its present rates and, while queries are advanced, its present shares. Between steps new
// settings may have made the basis one of other classes.
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

// newShard enters a shard that comes into use.
func (m *Machine) newShard(number int) *shard {
	n := len(m.classes.list)
	s := &shard{
		number:      number,
		rebalancing: m.shares.rebalances,
		decays:      m.shares.periods,
		arrived:     make([]float64, n),
		rates:       make([]float64, n),
		shares:      make([][]float64, n),
	}
	m.shards.byNumber[number] = s
	m.shards.inUse = append(m.shards.inUse, s)
	m.replicas.ring.addShard(s)
	m.computeShares(s, m.currentBasis())
	return s
}

// refreshShares gives a shard the shares of the latest rebalance. They are those that it would have had then: whatever
// they go by stays as it was until the next rebalance, is in the basis, or is kept by refreshSharesOf.
func (m *Machine) refreshShares(s *shard) {
	if s.rebalancing == m.shares.rebalances {
		return
	}
	s.rebalancing = m.shares.rebalances
	m.shards.outdated--
	s.decay(m.shares.periods)
	m.computeShares(s, m.shares.basis)
}

// refreshSharesOf gives a replica's shards their shares before anything of the replica changes that these go by. Where
// a rebalance is to come in this step, it will do.
func (m *Machine) refreshSharesOf(r *replica) {
	if m.shards.outdated > 0 && !m.shares.dirty {
		m.replicas.ring.shardsOf(r.RingPosition, m.refreshShares)
	}
}

// decay takes a shard's rates through the periodic rebalances up to one.
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

// computeShares divides a shard's traffic among its holders, class by class, the class with the tightest objective
// first. A class whose mean latency would exceed its objective so moves to the front, once: the slowest part
// exceeds it exactly where some shard does.
func (m *Machine) computeShares(s *shard, by shareBasis) {
	m.examined.shards++
	m.updateHolders(s)
	order := append(m.scratch.order[:0], m.classes.list...)
	m.scratch.order = order
	slices.SortStableFunc(order, func(x, y *class) int { return int(x.LatencyObjective - y.LatencyObjective) })
	for range order {
		m.fillShares(s, order, by.at)
		late := slices.IndexFunc(order, func(c *class) bool {
			return s.meanLatency(c, by.means[c.index]) > c.LatencyObjective.Seconds()
		})
		if late <= 0 {
			return
		}
		c := order[late]
		order = slices.Insert(slices.Delete(order, late, late+1), 0, c)
	}
}

// meanLatency is the expected latency of a class at a shard by its shares, given the class's own mean; in seconds.
func (s *shard) meanLatency(c *class, mean float64) (sum float64) {
	for i, r := range s.readyHolders {
		sum += s.shares[c.index][i] * r.latencyRatio * mean
	}
	return sum
}

// fillShares gives each holder its floor of each class, and the rest, class by class, to the holders with the lowest
// latency ratio up to their caps.
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

// equalShares are equal shares of a shard's ready holders, those in slow start in proportion to their capacity.
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

// fillClass gives what the floors leave of a class's demand to the holders with the lowest latency ratios, as far as
// their capacity goes.
func (m *Machine) fillClass(s *shard, shares, capacity []float64, demand float64) {
	left := (1 - floorShares) * demand
	for left > weightSlack*demand {
		tied, width := s.leastLatency(capacity, m.scratch.tied[:0])
		m.scratch.tied = tied
		if len(tied) == 0 {
			return
		}
		give := min(left, width)
		for _, i := range tied {
			part := give * capacity[i] / width
			capacity[i] -= part
			if give == width {
				capacity[i] = 0
			}
			shares[i] += part / demand
		}
		left -= give
	}
}

// leastLatency lists the holders with capacity whose latency ratio ties with the lowest, and their capacity together.
func (s *shard) leastLatency(capacity []float64, tied []int) (_ []int, width float64) {
	low := math.Inf(1)
	for i, r := range s.readyHolders {
		if capacity[i] > 0 {
			low = min(low, r.latencyRatio)
		}
	}
	for i, r := range s.readyHolders {
		if capacity[i] > 0 && r.latencyRatio <= low*(1+tieBand) {
			tied = append(tied, i)
			width += capacity[i]
		}
	}
	return tied, width
}

// resize gives a list of n entries, in the same memory where that is enough. The entries are whatever they were.
func resize(list *[]float64, n int) []float64 {
	*list = slices.Grow((*list)[:0], n)[:n]
	return *list
}
