package scatter

import (
	"cmp"
	"slices"

	"harepass/internal/decide/subsetting"
)

const (
	// minSubsetHolders is how many holders of each shard a coordinator of a large fleet sends to: two, so that there is
	// an alternative to each.
	minSubsetHolders = 2
	// smallFleet is the number of coordinators that send to a replica, Fraction times all coordinators, up to which
	// each of them sends to it often. Above it backoffs grow with that number.
	smallFleet = 5.0
)

// placement holds what follows from this coordinator's ordinal, the size of the fleet, the ring and the number of
// replicas listed as Ready.
type placement struct {
	subset subsetting.Subset // the replicas listed as Ready that this coordinator sends to
	// fleetFactor is how many times more rarely a coordinator sends to a given replica in this fleet than in a small
	// one; at least 1.
	fleetFactor float64
	basis       placementBasis // from which the replicas' present keys were computed
}

// placementBasis holds what the keys of all replicas are computed from.
type placementBasis struct {
	subset subsetting.Subset
	member subsetting.Member
}

// member returns this coordinator's index and the size of the fleet, by which probes and slow start are divided among
// coordinators. It returns the zero value in a small fleet, where nothing is divided; the subset is made from
// settingsMember in any case.
func (m *Machine) member() subsetting.Member {
	if m.placement.fleetFactor <= 1 {
		return subsetting.Member{}
	}
	return m.settingsMember()
}

// settingsMember returns this coordinator's index and the size of the fleet from the settings.
func (m *Machine) settingsMember() subsetting.Member {
	return subsetting.Member{Index: m.settings.Ordinal - 1, FleetSize: m.settings.Coordinators}
}

// sendsTo reports whether a replica takes part in the routing shares and is in this coordinator's subset.
func (m *Machine) sendsTo(r *replica) bool {
	return r.usable() && m.placement.subset.Contains(r.subsetKey)
}

// updatePlacement recomputes this coordinator's subset of the replicas that are listed as Ready, and the keys of
// replicas whose rank among those at their ring position may have changed, or of all if the subset or the member has. A
// key is a replica's distance from this coordinator on subsetting's circle; the subset contains the lowest keys.
func (m *Machine) updatePlacement() {
	p, g := &m.placement, &m.replicas.ring
	ring := subsetting.Ring{
		Size:              m.settings.RingSize,
		ReplicationFactor: m.settings.ReplicationFactor,
		Replicas:          m.replicas.listedReady,
	}
	p.subset = subsetting.NewSubset(m.settingsMember(), ring, minSubsetHolders)
	p.fleetFactor = max(1, p.subset.Fraction*float64(m.settings.Coordinators)/smallFleet)
	basis := placementBasis{p.subset, m.member()}
	if basis != p.basis {
		p.basis = basis
		for _, c := range g.slots {
			g.markUnranked(c)
		}
	}
	for _, c := range g.unranked {
		m.rankSlot(c)
	}
	g.unranked = g.unranked[:0]
}

// rankSlot gives the replicas of a slot that are listed as Ready their keys. A key depends on the replica's ring
// position and on its rank there: by StartedAt, then ID.
func (m *Machine) rankSlot(c *slot) {
	c.unranked = false
	m.examined.replicas += len(c.replicas)
	ready := slices.DeleteFunc(slices.Clone(c.replicas), func(r *replica) bool { return r.State != Ready })
	slices.SortFunc(ready, func(x, y *replica) int {
		return cmp.Or(
			cmp.Compare(x.RingPosition, y.RingPosition),
			cmp.Compare(x.StartedAt, y.StartedAt),
			cmp.Compare(x.ID, y.ID),
		)
	})
	rank := 0
	for i, r := range ready {
		rank++
		if i == 0 || ready[i-1].RingPosition != r.RingPosition {
			rank = 0
		}
		m.setKey(r, m.placement.subset.Key(r.RingPosition, rank))
	}
}

// setKey sets a replica's key, and this coordinator's offset among those whose subsets contain the replica.
func (m *Machine) setKey(r *replica, key float64) {
	r.subsetKey = key
	offset := m.placement.subset.Offset(m.member(), key)
	if r.hasOffset && offset == r.offset {
		return
	}
	r.offset, r.hasOffset = offset, true
	r.slowStart.sequence = offset.Sequence(subsetting.Salt(r.ID))
}

// updateHolders lists a shard's ready holders in the order of their keys, and determines how many of them this
// coordinator sends to: those in its subset, and further ones until minSubsetHolders of them are usable.
func (m *Machine) updateHolders(s *shard) {
	s.readyHolders = s.readyHolders[:0]
	m.replicas.ring.holders(s.number, func(r *replica) {
		m.examined.replicas++
		if r.State == Ready {
			s.readyHolders = append(s.readyHolders, r)
		}
	})
	slices.SortFunc(s.readyHolders, func(x, y *replica) int {
		return cmp.Or(cmp.Compare(x.subsetKey, y.subsetKey), byListing(x, y))
	})
	keys, usable := m.scratch.keys[:0], m.scratch.usable[:0]
	for _, r := range s.readyHolders {
		keys, usable = append(keys, r.subsetKey), append(usable, r.usable())
	}
	s.subsetSize = m.placement.subset.HolderCount(keys, usable, minSubsetHolders)
	m.scratch.keys, m.scratch.usable = keys, usable
}
