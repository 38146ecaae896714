package scaletest

import (
	"fmt"
	"time"

	"harepass/internal/test/fake"
	"harepass/internal/test/faultinjection"
)

// Broken counts what may never happen.
type Violations struct {
	Regressions     int `json:"went_back"`       // records of an older version than the one before
	MixedSettings   int `json:"half_settings"`   // records of settings of two versions
	LostRequests    int `json:"requests_lost"`   // heard and never answered
	ForbiddenParts  int `json:"forbidden_sends"` // parts sent where the list in force forbids it
	Behind          int `json:"behind_at_end"`   // members without the last version of list or settings
	UnreadableLines int `json:"unread_lines"`    // of hosts

	examples []string
}

// mostExamples of each kind are told in words.
const maxExamples = 3

func (b *Violations) count(counter *int, format string, args ...any) {
	if *counter++; *counter <= maxExamples {
		b.examples = append(b.examples, fmt.Sprintf(format, args...))
	}
}

// broken holds the members' and the nodes' records against the rules.
func (f *fleet) findViolations(published []Publication) Violations {
	var b Violations
	for _, m := range f.members {
		for _, r := range []Resource{List, Settings} {
			f.checkOrder(&b, m, r)
			f.checkEnd(&b, m, r, published)
		}
	}
	f.checkParts(&b, published)
	for _, c := range f.clientPools {
		if lost := c.Outcomes()[faultinjection.OutcomeLost]; lost > 0 {
			b.LostRequests += lost
			b.examples = append(b.examples, fmt.Sprintf("%d requests were heard and never answered", lost))
		}
	}
	for _, line := range f.records.unreadableLines {
		b.count(&b.UnreadableLines, "unread: %q", line)
	}
	return b
}

// checkOrder finds versions that went back, and halves.
func (f *fleet) checkOrder(b *Violations, m *member, r Resource) {
	list := f.records.of(m.name, r)
	for i, t := range list {
		if t.Mixed {
			b.count(&b.MixedSettings, "%s has settings of two versions at index %d", m.name, t.Index)
		}
		if i == 0 || lastStartBefore(f.started[m.name], t.At) != lastStartBefore(f.started[m.name], list[i-1].At) {
			continue
		}
		if t.olderThan(list[i-1]) {
			b.count(&b.Regressions, "%s went back with its %s from %d/%d to %d/%d", m.name, r, list[i-1].Epoch, list[i-1].Index, t.Epoch, t.Index)
		}
	}
}

// checkEnd finds members that are not at the last version.
func (f *fleet) checkEnd(b *Violations, m *member, r Resource, published []Publication) {
	last := lastPublication(published, r)
	if last == nil {
		return
	}
	if t, ok := f.records.latest(m.name, r); !ok || !t.covers(*last) || !t.Complete {
		b.count(&b.Behind, "%s has %s %d/%d at the end, the last is %d", m.name, r, t.Epoch, t.Index, last.Index)
	}
}

// lastOf is the last change of a resource, nil for none.
func lastPublication(published []Publication, r Resource) *Publication {
	for i := len(published) - 1; i >= 0; i-- {
		if published[i].Resource == r {
			return &published[i]
		}
	}
	return nil
}

// checkSends finds parts that a member sent to a node later than it may after it had the node's leaving in force.
func (f *fleet) checkParts(b *Violations, published []Publication) {
	f.replicas.mu.Lock()
	defer f.replicas.mu.Unlock()
	for _, s := range f.replicas.partsWhileUnavailable {
		leaving := f.drainBefore(s, published)
		if leaving == nil {
			continue
		}
		for _, t := range f.records.of(s.Member, List) {
			if !t.covers(*leaving) {
				continue
			}
			if late := s.At.Sub(t.At); late > drainGrace+drainSlack {
				b.count(&b.ForbiddenParts, "%s sent a part to node %d %v after it had its leaving in force", s.Member, s.Replica, late.Round(time.Millisecond))
			}
			break
		}
	}
}

// leaving is the change by which the node of a send was not to be sent to.
func (f *fleet) drainBefore(s receivedPart, published []Publication) *Publication {
	name := f.publisher.endpoints[s.Replica].Name
	var latest *Publication
	for i, p := range published {
		if p.Resource != List || p.At.After(s.At) {
			continue
		}
		for _, changed := range p.EndpointNames {
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
