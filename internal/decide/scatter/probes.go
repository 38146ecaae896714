package scatter

import (
	"time"

	"harepass/internal/decide/subsetting"
)

const (
	// probeShare is the share of parts that may be probes: ejected replicas may not take over a coordinator's traffic.
	probeShare = 0.15
	// maxSavedProbes is how many probes may be saved up.
	maxSavedProbes = 3
	// fleetProbeRate is how many first probes a second an ejected replica gets from all coordinators together.
	fleetProbeRate = 25.0
	// firstProbeBackoff is the backoff before the first probe, in tightest latency objectives.
	firstProbeBackoff = 0.2
	// maxProbeBackoff is the longest backoff, in tightest latency objectives. Each failed probe doubles the backoff.
	maxProbeBackoff = 2.0
)

// minProbeBackoff is the backoff before the first probe of an ejected replica.
func (m *Machine) minProbeBackoff() time.Duration {
	return scale(m.classes.tightest, firstProbeBackoff)
}

// dueProbe is an ejected replica that is to be probed with a first attempt of a part; nil where there is none. Classes
// that may not run twice do not probe. Without hedged requests a probe takes the place of the part's own attempt. At
// most one part in as many as its shard has holders is a probe then, and only parts of classes that allow partial
// answers, if some class does.
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

// nextProbeAfter is when this coordinator may probe an ejected replica next, after a backoff. In a fleet whose
// coordinators know their ordinals, each has a time slot of its own, so that all of them together keep to
// fleetProbeRate.
func (m *Machine) nextProbeAfter(r *replica, backoff time.Duration) time.Duration {
	place := m.place()
	if !place.HasPeers() {
		return m.now + backoff
	}
	members := m.placement.subset.Fraction * float64(place.FleetSize)
	backoff = max(backoff, subsetting.SlotPeriod(members, fleetProbeRate))
	return r.offset.NextSlot(m.now, backoff, subsetting.Salt(r.ID))
}
