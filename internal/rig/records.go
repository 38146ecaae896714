package rig

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"harepass/internal/standin"
)

// records are what nodes and discovery have seen, held against the rules as it comes in.
type records struct {
	f *Fleet

	mu         sync.Mutex
	withdrawn  map[*Member]map[string]time.Time // nodes that a member has been told not to use, and when
	freshSince map[*Member]time.Time            // when its process was started or went on last
	runs       map[string]string                // parts that may run once only, and where that was
	classes    map[string]bool                  // that parts were seen of
	queries    map[string]struct{}
	parts      int
	lists      int
	breaches   []string
}

const (
	linkSlack  = 50 * time.Millisecond // the platform's, for the way
	afterFault = time.Second           // what was held up by a fault arrives within this after it
)

func (r *records) open(f *Fleet) {
	*r = records{f: f, withdrawn: map[*Member]map[string]time.Time{}, freshSince: map[*Member]time.Time{}, runs: map[string]string{}, classes: map[string]bool{}, queries: map[string]struct{}{}}
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
func (r *records) listed(m *Member, list standin.Listing) {
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
func (r *records) part(m *Member, n *fleetNode, part standin.Part, did standin.Kind) {
	id, whole, heard := part.ID, m.links[n.no].WholeFor(), m.discovery.WholeFor()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts++
	query, _, _ := strings.Cut(id, ".")
	r.queries[query] = struct{}{}
	c := r.f.site.class(query)
	r.classes[c.name] = true
	if c.repeat == "single_shot" && did != standin.Reject {
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
	// What a fault has held up was sent before it: only what comes on a whole link tells when it was sent.
	// What discovery has written while its link had a fault arrives when that is over.
	at, told := r.withdrawn[m][n.name]
	late := min(time.Since(at), heard) - r.f.site.rules.grace() - linkSlack
	if told && late > 0 && whole > afterFault && time.Since(r.freshSince[m]) > afterFault {
		r.breach("%s sent %s to %s %v after it may", m.name, id, n.name, late.Round(time.Millisecond))
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

func (r *records) counts() (parts, lists int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.parts, r.lists
}
