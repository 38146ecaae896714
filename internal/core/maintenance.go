package core

import (
	"slices"
	"sync/atomic"

	"harepass/internal/decide/maintenance"
	"harepass/internal/decide/scatter"
	"harepass/internal/logmsg"
)

// maintenanceInForce holds the register of replicas that operators have taken out. A new register bypasses the queue,
// so that a maintenance call does not wait behind queries. If several arrive between two ticks, only the last one
// counts.
type maintenanceInForce struct {
	latest  atomic.Pointer[maintenance.Register] // set by any goroutine; nil before the first register
	changed chan struct{}                        // holds a token while latest may not have been applied

	applied   *maintenance.Register // the value of latest that was last reported to the module
	register  maintenance.Register  // the contents of applied
	uncovered []int                 // shards named in the last warning
}

func newMaintenanceInForce() maintenanceInForce {
	return maintenanceInForce{changed: make(chan struct{}, 1)}
}

// SetMaintenance replaces the register from the next tick on. It does not wait, and any goroutine may call it. The
// caller must not change the register afterwards.
func (c *Coordinator) SetMaintenance(register maintenance.Register) {
	c.maintenance.latest.Store(&register)
	select {
	case c.maintenance.changed <- struct{}{}:
	default:
	}
}

// applyMaintenance applies the latest register if it is new. It runs first in a tick, so nothing that the tick decides
// is sent to a replica that was already taken out.
func (c *Coordinator) applyMaintenance() {
	latest := c.maintenance.latest.Load()
	if latest == nil || latest == c.maintenance.applied {
		return
	}
	c.maintenance.applied, c.maintenance.register = latest, *latest
	c.notifyEffectiveList()
	c.withholdUnsendable()
	c.warnUncoveredShards()
}

// warnUncoveredShards logs the shards whose ready holders have all been taken out, whenever this set changes. The
// coordinator still sends nothing to these holders: only operators may end their maintenance.
func (c *Coordinator) warnUncoveredShards() {
	m := &c.maintenance
	var positions []int
	for id, entry := range m.register {
		if e, listed := c.endpoints.byID[id]; listed && entry.Out {
			positions = append(positions, e.RingPosition)
		}
	}
	var replicas []scatter.Replica
	for _, id := range c.endpoints.ring.sharingShards(positions) {
		replicas = append(replicas, c.endpoints.byID[id].Replica)
	}
	s := c.inForce()
	uncovered := m.register.UncoveredShards(replicas, s.RingSize, s.ReplicationFactor, s.limits.Shards)
	if !slices.Equal(uncovered, m.uncovered) {
		m.uncovered = uncovered
		c.cfg.Log.Warn(logmsg.ShardsUncovered, logmsg.KeyShards, uncovered,
			logmsg.KeyRemedy, "end the maintenance of one of their replicas")
	}
}
