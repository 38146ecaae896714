package scatter

import (
	"time"

	"harepass/internal/decide/subsetting"
)

const (
	// probeShare is the share of parts that may be probes. It keeps probes of ejected replicas from taking over a
	// coordinator's traffic.
	probeShare = 0.15
	// maxSavedProbes is how many unused probes may accumulate.
	maxSavedProbes = 3
	// fleetProbeRate is how many first probes per second an ejected replica gets from all coordinators together.
	fleetProbeRate = 25.0
	// firstProbeBackoff is the backoff before the first probe, as a multiple of the tightest latency objective.
	firstProbeBackoff = 0.2
	// maxProbeBackoff is the longest backoff, as a multiple of the tightest latency objective. Each failed probe
	// doubles the backoff.
	maxProbeBackoff = 2.0
)

// minProbeBackoff returns the backoff before the first probe of an ejected replica.
func (m *Machine) minProbeBackoff() time.Duration {
	return scale(m.classes.tightest, firstProbeBackoff)
}

// dueProbe returns the ejected replica that is to be probed with the first attempt of a part; nil if there is none.
// Parts of NonIdempotent classes, which may not run twice, are never probes. Without hedged requests a probe replaces
// the part's own attempt. Then on average at most one part in as many as its shard has holders is a probe, and if some
// class allows partial answers, only parts of such classes are.
func (m *Machine) dueProbe(p *part) *replica {
	c, holders := p.query.class, m.shardOf(p.Shard).subsetHolders()
	if m.probes.empty() || len(p.attempts) > 0 || c.Idempotency == NonIdempotent {
		return nil
	}
	if !m.settings.Hedging {
		needsAll := c.MinFraction >= c.CompleteFraction
		if m.classes.allowsPartial && needsAll || m.random.Float64()*float64(len(holders)) > 1 {
			return nil
		}
	}
	for _, r := range holders {
		if r.health.ejected && m.now >= r.health.nextProbe && len(r.attempts) == 0 && m.admitInSlowStart(p, r) {
			return r
		}
	}
	return nil
}

// nextProbeAfter returns when this coordinator may next probe an ejected replica, after a backoff. In a fleet whose
// coordinators know their ordinals, each has its own time slot, so that all of them together stay within
// fleetProbeRate.
func (m *Machine) nextProbeAfter(r *replica, backoff time.Duration) time.Duration {
	member := m.member()
	if !member.HasPeers() {
		return m.now + backoff
	}
	members := m.placement.subset.Fraction * float64(member.FleetSize)
	backoff = max(backoff, subsetting.SlotPeriod(members, fleetProbeRate))
	return r.offset.NextSlot(m.now, backoff, subsetting.Salt(r.ID))
}
