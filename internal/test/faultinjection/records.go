package faultinjection

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"harepass/internal/test/fake"
)

// records are what nodes and discovery have seen, held against the rules as it comes in.
type ruleChecker struct {
	f *Fleet

	mu               sync.Mutex
	withdrawn        map[*member]map[string]time.Time // nodes that a member has been told not to use, and when
	drainingSince    map[string]time.Time             // nodes that are to be left alone, and since when discovery knows
	reachableSince   time.Time                        // since when discovery can be reached; zero while it is down
	requests         map[string]*clientRequest        // of clients that tell of theirs
	runningSince     map[*member]time.Time            // when its process was started or went on last
	ranAt            map[string]string                // parts that may run once only, and where that was
	classesSeen      map[string]bool                  // that parts were seen of
	queriesForwarded map[string]struct{}
	partCount        int
	unjudged         int // whose times were not held against the rules, since the rig itself was held up
	listCount        int
	violations       []string
}

// clientRequest is what a client knows of one of its requests.
type clientRequest struct {
	deadline time.Time // when it gives up
	leftAt   time.Time // when it closed its connection; zero while it waits
}

const (
	notificationDelay = 6 * time.Second        // a change counts as told so long after discovery had it and could be reached
	clientLeftSlack   = 100 * time.Millisecond // an attempt may begin so long after its client has left
	deadlineSlack     = 150 * time.Millisecond // by which the deadline that a node is told may be over what the client has left
	recordingSlack    = 100 * time.Millisecond // between an event and its record, in a busy process of the rig

	linkSlack    = 50 * time.Millisecond // the platform's, for the way
	settlingTime = time.Second           // what was held up by a fault arrives within this after it
)

func (r *ruleChecker) init(f *Fleet) {
	*r = ruleChecker{f: f, drainingSince: map[string]time.Time{}, reachableSince: time.Now(), requests: map[string]*clientRequest{}, withdrawn: map[*member]map[string]time.Time{}, runningSince: map[*member]time.Time{}, ranAt: map[string]string{}, classesSeen: map[string]bool{}, queriesForwarded: map[string]struct{}{}}
}

// started notes a new process, which has read the list as it is.
func (r *ruleChecker) processStarted(m *member) {
	list, _ := r.f.registry.List(-1, m.replicaAddress)
	r.mu.Lock()
	r.runningSince[m] = time.Now()
	r.withdrawn[m] = map[string]time.Time{}
	r.mu.Unlock()
	r.listSent(m, list)
}

// listed notes what a member has been told; the word counts from when it was written first.
func (r *ruleChecker) listSent(m *member, list fake.Listing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listCount++
	for _, e := range list.Endpoints {
		if e.Status == statusInService {
			delete(r.withdrawn[m], e.Name)
		} else if _, known := r.withdrawn[m][e.Name]; !known && r.withdrawn[m] != nil {
			r.withdrawn[m][e.Name] = time.Now()
		}
	}
}

// part notes a part that a node was sent, and what it did with it.
func (r *ruleChecker) partReceived(m *member, n *fleetReplica, part fake.Part, did fake.Kind) {
	id, whole, heard := part.ID, m.links[n.number].HealthyFor(), m.discovery.HealthyFor()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partCount++
	query, _, _ := strings.Cut(id, ".")
	r.queriesForwarded[query] = struct{}{}
	c := r.f.site.classOf(query)
	r.classesSeen[c.name] = true
	if c.idempotency == "single_shot" && did != fake.Reject {
		if before, ran := r.ranAt[id]; ran {
			r.addViolation("the report %s ran at %s and at %s", id, before, n.name)
		}
		r.ranAt[id] = n.name
	}
	if fault := r.f.site.keyViolation(query, part.List); fault != "" {
		r.addViolation("%s", fault)
	}
	if !r.f.holds(n, part.Shard) {
		r.addViolation("%s went to %s, which does not hold its section", id, n.name)
	}
	if fault := r.clientViolation(query, part.List, whole); fault != "" {
		r.addViolation("%s sent %s to %s, %s", m.name, id, n.name, fault)
	}
	// What a fault has held up was sent before it: only what comes on a whole link tells when it was sent.
	// What discovery has written while its link had a fault arrives when that is over.
	at, told := r.notifiedAt(m, n, heard)
	late := min(time.Since(at), heard) - r.f.site.rules.drainGrace() - linkSlack
	if told && late > 0 && whole > settlingTime && time.Since(r.runningSince[m]) > settlingTime {
		r.addViolation("%s sent %s to %s %v after it may", m.name, id, n.name, late.Round(time.Millisecond))
	}
}

// toldAt is from when on a member counts as told to leave a node alone: when discovery wrote so first, or when the change
// binds although nothing was written. Under the lock.
func (r *ruleChecker) notifiedAt(m *member, n *fleetReplica, heard time.Duration) (at time.Time, told bool) {
	if at, told = r.withdrawn[m][n.name]; told {
		return at, true
	}
	known, leaves := r.drainingSince[n.name]
	if !leaves || r.f.Push || r.reachableSince.IsZero() {
		return at, false
	}
	for _, since := range []time.Time{r.reachableSince, time.Now().Add(-heard)} {
		if known.Before(since) {
			known = since
		}
	}
	return known.Add(notificationDelay), time.Since(known) > notificationDelay
}

// clientFault tells what an attempt that has just begun does to its client; empty where nothing is wrong, or where the way to
// the node was not whole. Under the lock.
func (r *ruleChecker) clientViolation(query, list string, whole time.Duration) string {
	c := r.requests[query]
	if c == nil || whole <= settlingTime {
		return ""
	}
	slack, ok := r.f.schedulingDelay.slack()
	if !ok {
		r.unjudged++
		return ""
	}
	if late := time.Since(c.leftAt); !c.leftAt.IsZero() && late > clientLeftSlack+slack {
		return fmt.Sprintf("%v after its client had left; the slack is %v", late.Round(time.Millisecond), slack)
	}
	for entry := range strings.SplitSeq(list, ",") {
		var told int
		if _, err := fmt.Sscanf(entry, "d=%d", &told); err != nil {
			continue
		}
		if over := time.Duration(told)*time.Millisecond - time.Until(c.deadline); over > deadlineSlack+slack {
			return fmt.Sprintf("told %v more than its client has left; the slack is %v", over.Round(time.Millisecond), slack)
		}
	}
	return ""
}

// notJudged counts a client's time that says nothing, since the rig itself was held up.
func (r *ruleChecker) countUnjudged() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unjudged++
}

// asks notes a client's request, and that it has left.
func (r *ruleChecker) requestSent(query string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[query] = &clientRequest{deadline: until}
}

func (r *ruleChecker) clientLeft(query string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.requests[query]; c != nil && c.leftAt.IsZero() {
		c.leftAt = time.Now()
	}
}

// listsNode notes a change that discovery has from now on.
func (r *ruleChecker) statusListed(n *fleetReplica, status string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if status == statusInService {
		delete(r.drainingSince, n.name)
	} else if _, known := r.drainingSince[n.name]; !known {
		r.drainingSince[n.name] = time.Now()
	}
}

// discoveryIs notes whether discovery can be reached from now on.
func (r *ruleChecker) setDiscoveryReachable(reachable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !reachable {
		r.reachableSince = time.Time{}
	} else if r.reachableSince.IsZero() {
		r.reachableSince = time.Now()
	}
}

// resumed notes that a paused process goes on.
func (r *ruleChecker) processResumed(m *member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runningSince[m] = time.Now()
}

// breach is called under the lock.
func (r *ruleChecker) addViolation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
	r.f.Note("rule", format, args...)
}

// sent tells whether a node has been asked for some part of a query.
func (r *ruleChecker) forwarded(query string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, seen := r.queriesForwarded[query]
	return seen
}

func (r *ruleChecker) counts() (parts, lists, unjudged int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.partCount, r.listCount, r.unjudged
}
