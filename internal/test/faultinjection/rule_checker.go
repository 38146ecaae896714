package faultinjection

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"harepass/internal/test/fake"
)

const (
	// linkSlack is the transfer time from coordinator to replica that the platform's rules allow for.
	linkSlack = 50 * time.Millisecond
	// settlingTime is how long after the end of a fault delayed parts may still arrive.
	settlingTime = time.Second
)

// ruleChecker checks the records of replicas, discovery and clients against the rules as they arrive. Its methods may
// be called by any goroutine, except those whose caller must hold the lock.
type ruleChecker struct {
	fleet *Fleet

	mu             sync.Mutex
	withdrawn      map[*member]map[string]time.Time // when discovery first listed a replica's drain to a member
	drainingSince  map[string]time.Time             // since when discovery lists a replica as leaving or ended, by name
	reachableSince time.Time                        // since when discovery can be reached; zero while it cannot
	requests       map[string]*clientRequest        // of strict clients, by query ID
	runningSince   map[*member]time.Time            // when a member's process was last started or resumed
	ranAt          map[string]string                // replica that last ran a non-idempotent part, by part ID
	classesSeen    map[string]bool                  // classes of the parts that replicas received
	forwardedIDs   map[string]struct{}              // IDs of the queries of these parts
	partCount      int
	listCount      int // endpoint lists that discovery has written to members
	unjudged       int // records whose times were not checked because this process was scheduled late
	violations     []string
}

// newRuleChecker returns the checker of a fleet. Discovery counts as reachable from now on.
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

// processStarted records a new process of a member. The process knows the current endpoint list from its configuration.
func (c *ruleChecker) processStarted(m *member) {
	list, _ := c.fleet.registry.List(-1, m.replicaAddress)
	c.mu.Lock()
	c.runningSince[m] = time.Now()
	c.withdrawn[m] = map[string]time.Time{}
	c.mu.Unlock()
	c.listSent(m, list)
}

// processResumed records that a member's paused process was resumed.
func (c *ruleChecker) processResumed(m *member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runningSince[m] = time.Now()
}

// partReceived checks a part that a replica has received from a member, given the kind of the replica's reply.
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
		c.addViolation("part %s was sent to %s, which does not hold its shard", part.ID, r.name)
	}
	if violation := c.clientViolation(queryID, part.List, linkHealthy); violation != "" {
		c.addViolation("%s sent %s to %s, %s", m.name, part.ID, r.name, violation)
	}
	c.checkDrain(m, r, part.ID, linkHealthy, discoveryHealthy)
}

// checkRunsOnce records that a non-idempotent part runs at a replica, and adds a violation if the part has run before.
// The caller must hold the lock.
func (c *ruleChecker) checkRunsOnce(r *fleetReplica, partID string) {
	if before, ran := c.ranAt[partID]; ran {
		c.addViolation("non-idempotent part %s ran at %s and at %s", partID, before, r.name)
	}
	c.ranAt[partID] = r.name
}

// checkDrain checks that a part did not begin after the grace of its replica's drain, given how long the links to the
// replica and to discovery have been healthy. The caller must hold the lock.
//
// A part that a fault on its link has delayed arrives late although it was sent in time. So only parts over a link that
// has been healthy for more than settlingTime are checked, and only if the member's process has been running for more
// than settlingTime since it was started or resumed. A list that discovery wrote while its link had a fault arrives
// when the fault ends, so the grace starts no earlier than that.
func (c *ruleChecker) checkDrain(
	m *member, r *fleetReplica, partID string, linkHealthy, discoveryHealthy time.Duration,
) {
	at, notified := c.notifiedAt(m, r, discoveryHealthy)
	excess := min(time.Since(at), discoveryHealthy) - c.fleet.site.rules.drainGrace() - linkSlack
	settled := linkHealthy > settlingTime && time.Since(c.runningSince[m]) > settlingTime
	if notified && excess > 0 && settled {
		c.addViolation("%s sent %s to %s %v after the end of the drain's grace",
			m.name, partID, r.name, excess.Round(time.Millisecond))
	}
}

// addViolation records that a rule was broken. The caller must hold the lock.
func (c *ruleChecker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
	c.fleet.Note(sourceRule, format, args...)
}

// forwarded reports whether a replica has received a part of a query.
func (c *ruleChecker) forwarded(queryID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, seen := c.forwardedIDs[queryID]
	return seen
}

// countUnjudged counts a record whose time was not checked because this process was scheduled late.
func (c *ruleChecker) countUnjudged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unjudged++
}

// counts returns how many parts replicas received, how many endpoint lists discovery wrote to members, and how many
// records were not judged.
func (c *ruleChecker) counts() (parts, lists, unjudged int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partCount, c.listCount, c.unjudged
}
