package rig

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"harepass/internal/standin"
)

// Timeline is what happened, of all processes and the rig in one order.
type Timeline struct {
	began time.Time

	mu    sync.Mutex
	notes []note
}

type note struct {
	at        time.Duration
	who, what string
}

func newTimeline() *Timeline { return &Timeline{began: time.Now()} }

// Note adds a line.
func (t *Timeline) Note(who, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notes = append(t.notes, note{time.Since(t.began), who, fmt.Sprintf(format, args...)})
}

// Print writes all lines in order of time.
func (t *Timeline) Print(out io.Writer) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	slices.SortStableFunc(t.notes, func(x, y note) int { return int(x.at - y.at) })
	for _, n := range t.notes {
		if _, err := fmt.Fprintf(out, "%8.3f %-8s %s\n", n.at.Seconds(), n.who, n.what); err != nil {
			return err
		}
	}
	return nil
}

// records are what nodes and discovery have seen, held against the rules as it comes in.
type records struct {
	f *Fleet

	mu      sync.Mutex
	told    map[*Member]map[string]time.Time // nodes that a member has been told not to use, and when
	fresh   map[*Member]time.Time            // when its process was started or went on last
	runs    map[string]string                // parts that may run once only, and where that was
	classes map[string]bool                  // that parts were seen of
	queries map[string]struct{}
	parts   int
	lists   int
	broken  []string
}

const (
	linkSlack  = 50 * time.Millisecond // the platform's, for the way
	afterFault = time.Second           // what was held up by a fault arrives within this after it
)

func (r *records) open(f *Fleet) {
	*r = records{f: f, told: map[*Member]map[string]time.Time{}, fresh: map[*Member]time.Time{}, runs: map[string]string{}, classes: map[string]bool{}, queries: map[string]struct{}{}}
}

// begun notes a new process, which has read the list as it is.
func (r *records) begun(m *Member) {
	list, _ := r.f.registry.List(-1, m.address)
	r.mu.Lock()
	r.fresh[m] = time.Now()
	r.told[m] = map[string]time.Time{}
	r.mu.Unlock()
	r.listed(m, list)
}

// listed notes what a member has been told; the word counts from when it was written first.
func (r *records) listed(m *Member, list standin.Listing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lists++
	for _, e := range list.Endpoints {
		if e.Status == "in_service" {
			delete(r.told[m], e.Name)
		} else if _, known := r.told[m][e.Name]; !known && r.told[m] != nil {
			r.told[m][e.Name] = time.Now()
		}
	}
}

// part notes a part that a node was sent, and what it did with it.
func (r *records) part(m *Member, n *fleetNode, part standin.Part, did standin.Kind) {
	id, whole, heard := part.ID, m.links[n.no].WholeFor(), m.disc.WholeFor()
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
	at, told := r.told[m][n.name]
	late := min(time.Since(at), heard) - r.f.site.grace - linkSlack
	if told && late > 0 && whole > afterFault && time.Since(r.fresh[m]) > afterFault {
		r.breach("%s sent %s to %s %v after it may", m.name, id, n.name, late.Round(time.Millisecond))
	}
}

// went notes that a paused process goes on.
func (r *records) went(m *Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fresh[m] = time.Now()
}

// breach is called under the lock.
func (r *records) breach(format string, args ...any) {
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
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

// verdict is what did not hold.
func (f *Fleet) verdict() (err error) {
	say := func(format string, args ...any) {
		f.Note("verdict", format, args...)
		err = errors.Join(err, fmt.Errorf("rig: "+format, args...))
	}
	total := map[string]int{}
	for _, m := range f.members {
		if m.crowd != nil {
			for k, n := range m.crowd.Tally() {
				total[k] += n
			}
		}
	}
	for _, bad := range []string{"twice", "untrue"} {
		if total[bad] > 0 {
			say("%d requests were answered %s", total[bad], bad)
		}
	}
	if total["lost"] > f.Lost {
		say("%d requests were heard and never answered, at most %d may be", total["lost"], f.Lost)
	}
	if total["200"] == 0 {
		say("nothing was served: no load")
	}
	for _, n := range f.nodes {
		n.mu.Lock()
		if p := n.machine.Pressure(); p > 1 {
			say("%s was sent %.2f times what makes it fall", n.name, p)
		}
		n.mu.Unlock()
	}
	f.records.mu.Lock()
	defer f.records.mu.Unlock()
	for _, c := range f.site.classes {
		if !f.records.classes[c.name] {
			say("no %s was seen", c.name)
		}
	}
	for i, b := range f.records.broken {
		if i == 5 {
			say("and %d more", len(f.records.broken)-i)
			break
		}
		say("%s", b)
	}
	return err
}
