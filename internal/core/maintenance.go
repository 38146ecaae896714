package core

import (
	"slices"
	"sync/atomic"

	"harepass/internal/decide/maintenance"
	"harepass/internal/decide/scatter"
	"harepass/internal/logmsg"
)

// maintenanceInForce is the register of replicas that operators have taken out. It comes past the queue, so that a call
// does not wait behind queries; several calls between two ticks are as the last of them.
type maintenanceInForce struct {
	latest  atomic.Pointer[maintenance.Register] // set by any goroutine; nil before the first
	changed chan struct{}                        // has a token while latest may not have been applied

	applied   *maintenance.Register // the value of latest that the module knows
	register  maintenance.Register  // the contents of applied
	uncovered []int                 // shards that the last warning named
}

func newMaintenanceInForce() maintenanceInForce {
	return maintenanceInForce{changed: make(chan struct{}, 1)}
}

// SetMaintenance replaces the register from the next tick on. It does not wait, and any goroutine may call it; the
// register must not be changed after that.
func (c *Coordinator) SetMaintenance(register maintenance.Register) {
	c.maintenance.latest.Store(&register)
	select {
	case c.maintenance.changed <- struct{}{}:
	default:
	}
}

// applyMaintenance takes over the latest register, if there is a new one. It comes before all else in a tick, so
// nothing that the tick decides is sent to a replica that was taken out before.
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

// warnUncoveredShards logs, when that changes, the shards of which all holders were taken out. The coordinator does not
// send to them all the same: operators alone may call a replica back.
func (c *Coordinator) warnUncoveredShards() {
	m := &c.maintenance
	var positions []int
	for id, entry := range m.register {
		if e, listed := c.endpoints.byID[id]; listed && entry.Out {
			positions = append(positions, e.RingPosition)
		}
	}
	var replicas []scatter.Replica
	for _, id := range c.endpoints.ring.near(positions) {
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
