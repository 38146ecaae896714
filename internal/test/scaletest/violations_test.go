package scaletest

import (
	"testing"
	"time"

	"harepass/internal/test/fake"
)

// newSmallFleet creates a fleet of two members and one replica without processes. The members' start time is began.
func newSmallFleet(t *testing.T) (f *fleet, began time.Time) {
	t.Helper()
	plan := &Plan{Regions: 1, Zones: 1, Coordinators: 2, Hosts: 1, Endpoints: 1, Replicas: 1}
	f, err := newFleet(Config{Dir: t.TempDir()}, plan)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.close() })
	began = time.Now()
	for _, m := range f.members {
		f.started[m.name] = []time.Time{began}
	}
	return f, began
}

// listRecord returns a member's record of a complete version of the endpoint list.
func listRecord(member string, at time.Time, epoch, index int64) VersionRecord {
	return VersionRecord{Member: member, Resource: List, Epoch: epoch, Index: index, At: at, Complete: true}
}

// One member returns to an older version and lacks the last version at the end; another member has settings of two
// versions in force. Each of the three counts as one violation. A lower index in a higher epoch, or from a restarted
// process, is not a violation.
func TestVersionsThatGoBackMixOrEndBehindAreViolations(t *testing.T) {
	f, began := newSmallFleet(t)
	f.records.add(listRecord("c0", began.Add(time.Second), 1, 5))
	f.records.add(listRecord("c0", began.Add(2*time.Second), 2, 1)) // a later epoch
	f.started["c0"] = append(f.started["c0"], began.Add(3*time.Second))
	f.records.add(listRecord("c0", began.Add(4*time.Second), 1, 7)) // from a restarted process
	f.records.add(listRecord("c0", began.Add(5*time.Second), 1, 6)) // back to an older version
	mixed := listRecord("c1", began.Add(time.Second), 1, 3)
	mixed.Resource, mixed.Mixed = Settings, true
	f.records.add(mixed)
	f.records.add(listRecord("c1", began.Add(time.Second), 1, 9))
	v := f.findViolations([]Publication{{Resource: List, Index: 7, At: began}})
	if v.Regressions != 1 || v.MixedSettings != 1 || v.Behind != 1 || len(v.examples) != 3 {
		t.Errorf("violations %+v, want one regression, one of mixed settings, one behind and 3 examples", v)
	}
}

// A replica is drained and later returns to service. A part that reaches it is forbidden once its sender has had the
// drain in force for longer than drainGrace and drainSlack. It is allowed before that, from a member that was not
// notified of the drain, and after the replica's return.
func TestPartsAfterDrainGraceAreForbidden(t *testing.T) {
	f, began := newSmallFleet(t)
	names := []string{f.publisher.endpoints[0].Name}
	drainAt, returnAt := began.Add(time.Second), began.Add(9*time.Second)
	published := []Publication{
		{Resource: List, Index: 2, At: drainAt, EndpointNames: names, Status: fake.StatusTerminating},
		{Resource: List, Index: 3, At: returnAt, EndpointNames: names, Status: fake.StatusInService},
	}
	f.records.add(listRecord("c0", began.Add(2*time.Second), 1, 2))
	f.records.add(listRecord("c0", returnAt, 1, 3))
	for _, c := range []struct {
		member string
		after  time.Duration
		want   int
	}{
		{"c0", 2500 * time.Millisecond, 0},
		{"c0", 4 * time.Second, 1},
		{"c1", 4 * time.Second, 0},
		{"c0", 10 * time.Second, 0},
	} {
		f.replicas.partsWhileUnavailable = []receivedPart{{c.member, 0, began.Add(c.after)}}
		var v Violations
		if f.checkParts(&v, published); v.ForbiddenParts != c.want {
			t.Errorf("part of %s after %v: %d violations, want %d", c.member, c.after, v.ForbiddenParts, c.want)
		}
	}
}
