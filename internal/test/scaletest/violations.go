package scaletest

import (
	"fmt"
	"slices"
	"time"

	"harepass/internal/test/fake"
	"harepass/internal/test/faultinjection"
)

// Violations counts the violations of the rules that hold in every run.
type Violations struct {
	Regressions     int `json:"went_back"`       // records of an older version than the process's previous one
	MixedSettings   int `json:"half_settings"`   // records with settings of two versions in force
	LostRequests    int `json:"requests_lost"`   // requests that a coordinator read and never answered
	ForbiddenParts  int `json:"forbidden_sends"` // parts sent to a replica that the endpoint list in force excludes
	Behind          int `json:"behind_at_end"`   // pairs of a member and a resource without the last version at the end
	UnreadableLines int `json:"unread_lines"`    // lines of hosts that are neither records nor traffic

	examples []string // sentences that describe the first violations of each kind
}

// maxExamples is the number of violations of each kind that are described.
const maxExamples = 3

// count increments a violation's counter, and describes the violation if it is among the first maxExamples.
func (v *Violations) count(counter *int, format string, args ...any) {
	if *counter++; *counter <= maxExamples {
		v.examples = append(v.examples, fmt.Sprintf(format, args...))
	}
}

// findViolations checks the records of the members, the replicas and the clients against the rules.
func (f *fleet) findViolations(published []Publication) Violations {
	var v Violations
	for _, m := range f.members {
		for _, resource := range []Resource{List, Settings} {
			f.checkOrder(&v, m, resource)
			f.checkLatestVersion(&v, m, resource, published)
		}
	}
	f.checkParts(&v, published)
	for _, pool := range f.clientPools {
		if lost := pool.Outcomes()[faultinjection.OutcomeLost]; lost > 0 {
			v.LostRequests += lost
			v.examples = append(v.examples, fmt.Sprintf("%d requests were read and never answered", lost))
		}
	}
	for _, line := range f.records.unreadableLines {
		v.count(&v.UnreadableLines, "unreadable line of a host: %q", line)
	}
	return v
}

// checkOrder counts a member's returns to an older version of a resource, and its records with settings of two
// versions. A new process of the member may start with an older version than its predecessor had.
func (f *fleet) checkOrder(v *Violations, m *member, resource Resource) {
	list := f.records.of(m.name, resource)
	starts := f.started[m.name]
	for i, record := range list {
		if record.Mixed {
			v.count(&v.MixedSettings, "%s has settings of two versions at index %d", m.name, record.Index)
		}
		if i == 0 || !lastStartBefore(starts, record.At).Equal(lastStartBefore(starts, list[i-1].At)) {
			continue
		}
		if previous := list[i-1]; record.olderThan(previous) {
			v.count(&v.Regressions, "%s went back with its %s from %d/%d to %d/%d",
				m.name, resource, previous.Epoch, previous.Index, record.Epoch, record.Index)
		}
	}
}

// checkLatestVersion counts a violation if a member does not have the complete last version of a resource.
func (f *fleet) checkLatestVersion(v *Violations, m *member, resource Resource, published []Publication) {
	last := lastPublication(published, resource)
	if last == nil {
		return
	}
	if record, ok := f.records.latest(m.name, resource); !ok || !record.covers(*last) || !record.Complete {
		v.count(&v.Behind, "%s has %s %d/%d at the end, the last is %d",
			m.name, resource, record.Epoch, record.Index, last.Index)
	}
}

// lastPublication returns the last change of a resource, or nil if there is none.
func lastPublication(published []Publication, resource Resource) *Publication {
	for i := range slices.Backward(published) {
		if published[i].Resource == resource {
			return &published[i]
		}
	}
	return nil
}

// checkParts counts parts that reached a replica more than drainGrace and drainSlack after the replica's drain or
// removal came into force at the sender.
func (f *fleet) checkParts(v *Violations, published []Publication) {
	f.replicas.mu.Lock()
	defer f.replicas.mu.Unlock()
	for _, part := range f.replicas.partsWhileUnavailable {
		drain := f.drainBefore(part, published)
		if drain == nil {
			continue
		}
		list := f.records.of(part.Member, List)
		notified := slices.IndexFunc(list, func(r VersionRecord) bool { return r.covers(*drain) })
		if notified < 0 {
			continue
		}
		if since := part.At.Sub(list[notified].At); since > drainGrace+drainSlack {
			v.count(&v.ForbiddenParts, "%s sent a part to replica %d %v after it had its drain in force",
				part.Member, part.Replica, since.Round(time.Millisecond))
		}
	}
}

// drainBefore returns the latest change of a part's replica before the part reached it, if this change took the replica
// out of service. Otherwise it returns nil.
func (f *fleet) drainBefore(part receivedPart, published []Publication) *Publication {
	name := f.publisher.endpoints[part.Replica].Name
	var latest *Publication
	for i, change := range published {
		if change.Resource == List && !change.At.After(part.At) && slices.Contains(change.EndpointNames, name) {
			latest = &published[i]
		}
	}
	if latest == nil || latest.Status == fake.StatusInService {
		return nil
	}
	return latest
}
