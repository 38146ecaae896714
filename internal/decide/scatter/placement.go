package scatter

import (
	"cmp"
	"slices"

	"harepass/internal/decide/subsetting"
)

const (
	// minSubsetHolders is how many holders of each shard a coordinator of a large fleet sends to: one, and another
	// beside it.
	minSubsetHolders = 2
	// smallFleet is the number of coordinators up to which each meets a replica often. In larger fleets backoffs grow
	// with the number.
	smallFleet = 5.0
)

// placement is what this coordinator's ordinal in the fleet makes of its choices.
type placement struct {
	subset subsetting.Subset // of the running replicas: those that this coordinator keeps
	// fleetFactor is how much more rarely a coordinator of this fleet meets a replica than one of a small fleet; 1
	// or more.
	fleetFactor float64
	basis       placementBasis // of the keys that replicas have
}

// placementBasis is what the keys of all replicas go by.
type placementBasis struct {
	subset subsetting.Subset
	place  subsetting.Member
}

// place is this coordinator's ordinal together with the size of the fleet. It is the zero value in a fleet that is too
// small for its coordinators to divide the replicas among them.
func (m *Machine) place() subsetting.Member {
	if m.placement.fleetFactor <= 1 {
		return subsetting.Member{}
	}
	return m.settingsPlace()
}

// settingsPlace is this coordinator's place by the settings.
func (m *Machine) settingsPlace() subsetting.Member {
	return subsetting.Member{Index: m.settings.Ordinal - 1, FleetSize: m.settings.Coordinators}
}

// sendsTo reports whether a replica takes part in the routing shares and this coordinator sends to it.
func (m *Machine) sendsTo(r *replica) bool {
	return r.usable() && m.placement.subset.Contains(r.subsetKey)
}

// updatePlacement finds this coordinator's subset of the replicas that are listed as Ready, and the key of each.
func (m *Machine) updatePlacement() {
	p, g := &m.placement, &m.replicas.ring
	ring := subsetting.Ring{
		Size:              m.settings.RingSize,
		ReplicationFactor: m.settings.ReplicationFactor,
		Replicas:          m.replicas.listedReady,
	}
	p.subset = subsetting.NewSubset(m.settingsPlace(), ring, minSubsetHolders)
	p.fleetFactor = max(1, p.subset.Fraction*float64(m.settings.Coordinators)/smallFleet)
	basis := placementBasis{p.subset, m.place()}
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

// rankSlot gives the running replicas of a slot their keys, by their rank there.
func (m *Machine) rankSlot(c *slot) {
	c.unranked = false
	m.examined.replicas += len(c.replicas)
	running := slices.DeleteFunc(slices.Clone(c.replicas), func(r *replica) bool { return r.State != Ready })
	slices.SortFunc(running, func(x, y *replica) int {
		return cmp.Or(
			cmp.Compare(x.RingPosition, y.RingPosition),
			cmp.Compare(x.StartedAt, y.StartedAt),
			cmp.Compare(x.ID, y.ID),
		)
	})
	rank := 0
	for i, r := range running {
		rank++
		if i == 0 || running[i-1].RingPosition != r.RingPosition {
			rank = 0
		}
		m.setKey(r, m.placement.subset.Key(r.RingPosition, rank))
	}
}

// setKey gives a replica its key, and this coordinator its offset among those that keep the replica.
func (m *Machine) setKey(r *replica, key float64) {
	r.subsetKey = key
	offset := m.placement.subset.Offset(m.place(), key)
	if r.hasOffset && offset == r.offset {
		return
	}
	r.offset, r.hasOffset = offset, true
	r.slowStart.sequence = offset.Sequence(subsetting.Salt(r.ID))
}

// updateHolders lists a shard's holders in the order of their keys, and how many of them this coordinator sends to.
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
	keys, ready := m.scratch.keys[:0], m.scratch.ready[:0]
	for _, r := range s.readyHolders {
		keys, ready = append(keys, r.subsetKey), append(ready, r.usable())
	}
	s.subsetSize = m.placement.subset.HolderCount(keys, ready, minSubsetHolders)
	m.scratch.keys, m.scratch.ready = keys, ready
}
