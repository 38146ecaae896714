package faultinjection

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"harepass/internal/test/fake"
)

// records are what nodes and discovery have seen, held against the rules as it comes in.
type records struct {
	f *Fleet

	mu         sync.Mutex
	withdrawn  map[*Member]map[string]time.Time // nodes that a member has been told not to use, and when
	leaving    map[string]time.Time             // nodes that are to be left alone, and since when discovery knows
	reachable  time.Time                        // since when discovery can be reached; zero while it is down
	requests   map[string]*clientRequest        // of clients that tell of theirs
	freshSince map[*Member]time.Time            // when its process was started or went on last
	runs       map[string]string                // parts that may run once only, and where that was
	classes    map[string]bool                  // that parts were seen of
	queries    map[string]struct{}
	parts      int
	unjudged   int // whose times were not held against the rules, since the rig itself was held up
	lists      int
	breaches   []string
}

// clientRequest is what a client knows of one of its requests.
type clientRequest struct {
	until time.Time // when it gives up
	left  time.Time // when it closed its connection; zero while it waits
}

const (
	binds       = 6 * time.Second        // a change counts as told so long after discovery had it and could be reached
	goneSlack   = 100 * time.Millisecond // an attempt may begin so long after its client has left
	toldSlack   = 150 * time.Millisecond // by which the deadline that a node is told may be over what the client has left
	recordSlack = 100 * time.Millisecond // between an event and its record, in a busy process of the rig

	linkSlack  = 50 * time.Millisecond // the platform's, for the way
	afterFault = time.Second           // what was held up by a fault arrives within this after it
)

func (r *records) open(f *Fleet) {
	*r = records{f: f, leaving: map[string]time.Time{}, reachable: time.Now(), requests: map[string]*clientRequest{}, withdrawn: map[*Member]map[string]time.Time{}, freshSince: map[*Member]time.Time{}, runs: map[string]string{}, classes: map[string]bool{}, queries: map[string]struct{}{}}
}

// started notes a new process, which has read the list as it is.
func (r *records) started(m *Member) {
	list, _ := r.f.registry.List(-1, m.address)
	r.mu.Lock()
	r.freshSince[m] = time.Now()
	r.withdrawn[m] = map[string]time.Time{}
	r.mu.Unlock()
	r.listed(m, list)
}

// listed notes what a member has been told; the word counts from when it was written first.
func (r *records) listed(m *Member, list fake.Listing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lists++
	for _, e := range list.Endpoints {
		if e.Status == statusInService {
			delete(r.withdrawn[m], e.Name)
		} else if _, known := r.withdrawn[m][e.Name]; !known && r.withdrawn[m] != nil {
			r.withdrawn[m][e.Name] = time.Now()
		}
	}
}

// part notes a part that a node was sent, and what it did with it.
func (r *records) part(m *Member, n *fleetNode, part fake.Part, did fake.Kind) {
	id, whole, heard := part.ID, m.links[n.no].WholeFor(), m.discovery.WholeFor()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts++
	query, _, _ := strings.Cut(id, ".")
	r.queries[query] = struct{}{}
	c := r.f.site.class(query)
	r.classes[c.name] = true
	if c.repeat == "single_shot" && did != fake.Reject {
		if before, ran := r.runs[id]; ran {
			r.breach("the report %s ran at %s and at %s", id, before, n.name)
		}
		r.runs[id] = n.name
	}
	if fault := r.f.site.keyFault(query, part.List); fault != "" {
		r.breach("%s", fault)
	}
	if !r.f.holds(n, part.Shard) {
		r.breach("%s went to %s, which does not hold its section", id, n.name)
	}
	if fault := r.clientFault(query, part.List, whole); fault != "" {
		r.breach("%s sent %s to %s, %s", m.name, id, n.name, fault)
	}
	// What a fault has held up was sent before it: only what comes on a whole link tells when it was sent.
	// What discovery has written while its link had a fault arrives when that is over.
	at, told := r.toldAt(m, n, heard)
	late := min(time.Since(at), heard) - r.f.site.rules.grace() - linkSlack
	if told && late > 0 && whole > afterFault && time.Since(r.freshSince[m]) > afterFault {
		r.breach("%s sent %s to %s %v after it may", m.name, id, n.name, late.Round(time.Millisecond))
	}
}

// toldAt is from when on a member counts as told to leave a node alone: when discovery wrote so first, or when the change
// binds although nothing was written. Under the lock.
func (r *records) toldAt(m *Member, n *fleetNode, heard time.Duration) (at time.Time, told bool) {
	if at, told = r.withdrawn[m][n.name]; told {
		return at, true
	}
	known, leaves := r.leaving[n.name]
	if !leaves || r.f.Push || r.reachable.IsZero() {
		return at, false
	}
	for _, since := range []time.Time{r.reachable, time.Now().Add(-heard)} {
		if known.Before(since) {
			known = since
		}
	}
	return known.Add(binds), time.Since(known) > binds
}

// clientFault tells what an attempt that has just begun does to its client; empty where nothing is wrong, or where the way to
// the node was not whole. Under the lock.
func (r *records) clientFault(query, list string, whole time.Duration) string {
	c := r.requests[query]
	if c == nil || whole <= afterFault {
		return ""
	}
	slack, ok := r.f.lateness.slack()
	if !ok {
		r.unjudged++
		return ""
	}
	if late := time.Since(c.left); !c.left.IsZero() && late > goneSlack+slack {
		return fmt.Sprintf("%v after its client had left; the slack is %v", late.Round(time.Millisecond), slack)
	}
	for entry := range strings.SplitSeq(list, ",") {
		var told int
		if _, err := fmt.Sscanf(entry, "d=%d", &told); err != nil {
			continue
		}
		if over := time.Duration(told)*time.Millisecond - time.Until(c.until); over > toldSlack+slack {
			return fmt.Sprintf("told %v more than its client has left; the slack is %v", over.Round(time.Millisecond), slack)
		}
	}
	return ""
}

// notJudged counts a client's time that says nothing, since the rig itself was held up.
func (r *records) notJudged() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unjudged++
}

// asks notes a client's request, and that it has left.
func (r *records) asks(query string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[query] = &clientRequest{until: until}
}

func (r *records) leaves(query string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.requests[query]; c != nil && c.left.IsZero() {
		c.left = time.Now()
	}
}

// listsNode notes a change that discovery has from now on.
func (r *records) listsNode(n *fleetNode, status string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if status == statusInService {
		delete(r.leaving, n.name)
	} else if _, known := r.leaving[n.name]; !known {
		r.leaving[n.name] = time.Now()
	}
}

// discoveryIs notes whether discovery can be reached from now on.
func (r *records) discoveryIs(reachable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !reachable {
		r.reachable = time.Time{}
	} else if r.reachable.IsZero() {
		r.reachable = time.Now()
	}
}

// resumed notes that a paused process goes on.
func (r *records) resumed(m *Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.freshSince[m] = time.Now()
}

// breach is called under the lock.
func (r *records) breach(format string, args ...any) {
	r.breaches = append(r.breaches, fmt.Sprintf(format, args...))
	r.f.Note("rule", format, args...)
}

// sent tells whether a node has been asked for some part of a query.
func (r *records) sent(query string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, seen := r.queries[query]
	return seen
}

func (r *records) counts() (parts, lists, unjudged int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.parts, r.lists, r.unjudged
}
