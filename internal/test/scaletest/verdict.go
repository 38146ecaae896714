package scaletest

import (
	"fmt"
	"time"

	"harepass/internal/test/fake"
	"harepass/internal/test/faultinjection"
)

// Broken counts what may never happen.
type Broken struct {
	WentBack  int `json:"went_back"`       // records of an older version than the one before
	Half      int `json:"half_settings"`   // records of settings of two versions
	Lost      int `json:"requests_lost"`   // heard and never answered
	Forbidden int `json:"forbidden_sends"` // parts sent where the list in force forbids it
	Behind    int `json:"behind_at_end"`   // members without the last version of list or settings
	Strays    int `json:"unread_lines"`    // of hosts

	examples []string
}

// mostExamples of each kind are told in words.
const mostExamples = 3

func (b *Broken) count(counter *int, format string, args ...any) {
	if *counter++; *counter <= mostExamples {
		b.examples = append(b.examples, fmt.Sprintf(format, args...))
	}
}

// broken holds the members' and the nodes' records against the rules.
func (f *fleet) broken(published []Publication) Broken {
	var b Broken
	for _, m := range f.members {
		for _, r := range []Resource{List, Settings} {
			f.checkOrder(&b, m, r)
			f.checkEnd(&b, m, r, published)
		}
	}
	f.checkSends(&b, published)
	for _, c := range f.crowds {
		if lost := c.Outcomes()[faultinjection.OutcomeLost]; lost > 0 {
			b.Lost += lost
			b.examples = append(b.examples, fmt.Sprintf("%d requests were heard and never answered", lost))
		}
	}
	for _, line := range f.records.strays {
		b.count(&b.Strays, "unread: %q", line)
	}
	return b
}

// checkOrder finds versions that went back, and halves.
func (f *fleet) checkOrder(b *Broken, m *member, r Resource) {
	list := f.records.of(m.name, r)
	for i, t := range list {
		if t.Half {
			b.count(&b.Half, "%s has settings of two versions at index %d", m.name, t.Index)
		}
		if i == 0 || startBefore(f.started[m.name], t.At) != startBefore(f.started[m.name], list[i-1].At) {
			continue
		}
		if t.before(list[i-1]) {
			b.count(&b.WentBack, "%s went back with its %s from %d/%d to %d/%d", m.name, r, list[i-1].Epoch, list[i-1].Index, t.Epoch, t.Index)
		}
	}
}

// checkEnd finds members that are not at the last version.
func (f *fleet) checkEnd(b *Broken, m *member, r Resource, published []Publication) {
	last := lastOf(published, r)
	if last == nil {
		return
	}
	if t, ok := f.records.latest(m.name, r); !ok || !t.has(*last) || !t.Whole {
		b.count(&b.Behind, "%s has %s %d/%d at the end, the last is %d", m.name, r, t.Epoch, t.Index, last.Index)
	}
}

// lastOf is the last change of a resource, nil for none.
func lastOf(published []Publication, r Resource) *Publication {
	for i := len(published) - 1; i >= 0; i-- {
		if published[i].Resource == r {
			return &published[i]
		}
	}
	return nil
}

// checkSends finds parts that a member sent to a node later than it may after it had the node's leaving in force.
func (f *fleet) checkSends(b *Broken, published []Publication) {
	f.nodes.mu.Lock()
	defer f.nodes.mu.Unlock()
	for _, s := range f.nodes.sends {
		leaving := f.leaving(s, published)
		if leaving == nil {
			continue
		}
		for _, t := range f.records.of(s.Member, List) {
			if !t.has(*leaving) {
				continue
			}
			if late := s.At.Sub(t.At); late > sendingEnds+sendSlack {
				b.count(&b.Forbidden, "%s sent a part to node %d %v after it had its leaving in force", s.Member, s.Node, late.Round(time.Millisecond))
			}
			break
		}
	}
}

// leaving is the change by which the node of a send was not to be sent to.
func (f *fleet) leaving(s send, published []Publication) *Publication {
	name := f.publisher.entries[s.Node].Name
	var latest *Publication
	for i, p := range published {
		if p.Resource != List || p.At.After(s.At) {
			continue
		}
		for _, changed := range p.Names {
			if changed == name {
				latest = &published[i]
			}
		}
	}
	if latest == nil || latest.Status == fake.StatusInService {
		return nil
	}
	return latest
}
