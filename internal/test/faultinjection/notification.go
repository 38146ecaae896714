package faultinjection

import (
	"time"

	"harepass/internal/test/fake"
)

// notificationDelay applies to a coordinator that polls: it counts as notified of a change this long after discovery
// had the change and could be reached, even if discovery has not written the change to it.
const notificationDelay = 6 * time.Second

// listSent records an endpoint list that discovery has written to a member. The grace of a drain starts with the first
// list that contains the drain; later lists repeat it.
func (c *ruleChecker) listSent(m *member, list fake.EndpointList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listCount++
	for _, e := range list.Endpoints {
		if e.Status == fake.StatusInService {
			delete(c.withdrawn[m], e.Name)
		} else if _, known := c.withdrawn[m][e.Name]; !known && c.withdrawn[m] != nil {
			c.withdrawn[m][e.Name] = time.Now()
		}
	}
}

// statusListed records the status under which discovery lists a replica from now on.
func (c *ruleChecker) statusListed(r *fleetReplica, status string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if status == fake.StatusInService {
		delete(c.drainingSince, r.name)
	} else if _, known := c.drainingSince[r.name]; !known {
		c.drainingSince[r.name] = time.Now()
	}
}

// setDiscoveryReachable records whether coordinators can reach discovery from now on.
func (c *ruleChecker) setDiscoveryReachable(reachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !reachable {
		c.reachableSince = time.Time{}
	} else if c.reachableSince.IsZero() {
		c.reachableSince = time.Now()
	}
}

// notifiedAt returns when a member counts as notified that it may no longer send to a replica, and whether that time
// has come. It is when discovery first wrote the change to the member. If the member polls and discovery has not
// written it, it is notificationDelay after discovery had the change, could be reached, and had a healthy link to the
// member. discoveryHealthy is how long this link has been healthy. The caller must hold the lock.
func (c *ruleChecker) notifiedAt(
	m *member, r *fleetReplica, discoveryHealthy time.Duration,
) (at time.Time, notified bool) {
	if at, notified = c.withdrawn[m][r.name]; notified {
		return at, true
	}
	known, draining := c.drainingSince[r.name]
	if !draining || c.fleet.Push || c.reachableSince.IsZero() {
		return at, false
	}
	for _, since := range []time.Time{c.reachableSince, time.Now().Add(-discoveryHealthy)} {
		if known.Before(since) {
			known = since
		}
	}
	return known.Add(notificationDelay), time.Since(known) > notificationDelay
}
