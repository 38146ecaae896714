package faultinjection

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"harepass/internal/test/fake"
)

const (
	// linkSlack is what the platform's rules grant for the way from coordinator to replica.
	linkSlack = 50 * time.Millisecond
	// settlingTime is how long after a fault what it had held up may still arrive.
	settlingTime = time.Second
)

// ruleChecker holds what replicas, discovery and clients record against the rules, as it comes in. Its methods may be
// called by any goroutine, but for those that ask for the lock.
type ruleChecker struct {
	fleet *Fleet

	mu             sync.Mutex
	withdrawn      map[*member]map[string]time.Time // when discovery first wrote to a member not to use a replica
	drainingSince  map[string]time.Time             // since when discovery lists a replica as leaving or ended
	reachableSince time.Time                        // since when discovery can be reached; zero while it is down
	requests       map[string]*clientRequest        // of strict clients, by query ID
	runningSince   map[*member]time.Time            // when a member's process was started or resumed last
	ranAt          map[string]string                // where a part that may run once only has run, by part ID
	classesSeen    map[string]bool                  // classes that parts were seen of
	forwardedIDs   map[string]struct{}              // queries that parts were seen of
	partCount      int
	listCount      int // endpoint lists that discovery has written
	unjudged       int // records whose times were not checked, since this process was not scheduled in time
	violations     []string
}

// newRuleChecker returns the checker of a fleet whose discovery can be reached.
func newRuleChecker(f *Fleet) *ruleChecker {
	return &ruleChecker{
		fleet:          f,
		withdrawn:      map[*member]map[string]time.Time{},
		drainingSince:  map[string]time.Time{},
		reachableSince: time.Now(),
		requests:       map[string]*clientRequest{},
		runningSince:   map[*member]time.Time{},
		ranAt:          map[string]string{},
		classesSeen:    map[string]bool{},
		forwardedIDs:   map[string]struct{}{},
	}
}

// processStarted records a new process of a member. Its configuration has the endpoint list as it is now.
func (c *ruleChecker) processStarted(m *member) {
	list, _ := c.fleet.registry.List(-1, m.replicaAddress)
	c.mu.Lock()
	c.runningSince[m] = time.Now()
	c.withdrawn[m] = map[string]time.Time{}
	c.mu.Unlock()
	c.listSent(m, list)
}

// processResumed records that a paused process goes on.
func (c *ruleChecker) processResumed(m *member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runningSince[m] = time.Now()
}

// partReceived checks a part that a replica was sent by a member, given what the replica does with it.
func (c *ruleChecker) partReceived(m *member, r *fleetReplica, part fake.Part, reply fake.Kind) {
	linkHealthy, discoveryHealthy := m.links[r.number].HealthyFor(), m.discovery.HealthyFor()
	queryID, _, _ := strings.Cut(part.ID, ".")
	class := c.fleet.site.classOf(queryID)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partCount++
	c.forwardedIDs[queryID] = struct{}{}
	c.classesSeen[class.name] = true
	if class.idempotency == nonIdempotent && reply != fake.Reject {
		c.checkRunsOnce(r, part.ID)
	}
	if violation := c.fleet.site.keyViolation(queryID, part.List); violation != "" {
		c.addViolation("%s", violation)
	}
	if !c.fleet.holds(r, part.Shard) {
		c.addViolation("%s went to %s, which is no holder of its shard", part.ID, r.name)
	}
	if violation := c.clientViolation(queryID, part.List, linkHealthy); violation != "" {
		c.addViolation("%s sent %s to %s, %s", m.name, part.ID, r.name, violation)
	}
	c.checkDrain(m, r, part.ID, linkHealthy, discoveryHealthy)
}

// checkRunsOnce records where a part runs that may run once only. It is to be called under the lock.
func (c *ruleChecker) checkRunsOnce(r *fleetReplica, partID string) {
	if before, ran := c.ranAt[partID]; ran {
		c.addViolation("non-idempotent part %s ran at %s and at %s", partID, before, r.name)
	}
	c.ranAt[partID] = r.name
}

// checkDrain checks that a part did not begin after the grace of its replica's drain, given for how long the links to
// replica and discovery have been healthy. It is to be called under the lock.
//
// A part that a fault on its link has held up arrives late though it was sent in time. So only parts on a link that has
// been healthy for settlingTime count; a process that has just started or been resumed is granted the same. What
// discovery wrote while its link had a fault arrives when that is over, and the grace counts from then.
func (c *ruleChecker) checkDrain(
	m *member, r *fleetReplica, partID string, linkHealthy, discoveryHealthy time.Duration,
) {
	at, notified := c.notifiedAt(m, r, discoveryHealthy)
	overdue := min(time.Since(at), discoveryHealthy) - c.fleet.site.rules.drainGrace() - linkSlack
	settled := linkHealthy > settlingTime && time.Since(c.runningSince[m]) > settlingTime
	if notified && overdue > 0 && settled {
		c.addViolation("%s sent %s to %s %v after the drain's grace",
			m.name, partID, r.name, overdue.Round(time.Millisecond))
	}
}

// addViolation records that a rule was broken. It is to be called under the lock.
func (c *ruleChecker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
	c.fleet.Note(sourceRule, format, args...)
}

// forwarded reports whether a replica has been asked for some part of a query.
func (c *ruleChecker) forwarded(queryID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, seen := c.forwardedIDs[queryID]
	return seen
}

// countUnjudged counts a record whose time says nothing, since this process was not scheduled in time.
func (c *ruleChecker) countUnjudged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unjudged++
}

// counts returns how many parts and endpoint lists were checked, and how many records were not judged.
func (c *ruleChecker) counts() (parts, lists, unjudged int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partCount, c.listCount, c.unjudged
}
