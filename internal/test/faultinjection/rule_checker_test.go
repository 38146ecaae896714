package faultinjection

import (
	"errors"
	"strings"
	"testing"
	"time"

	"harepass/internal/test/fake"
)

// linkHealthyFor returns a link whose last fault ended some time ago.
func linkHealthyFor(d time.Duration) *Link { return &Link{healthySince: time.Now().Add(-d)} }

// newCheckedFleet returns a fleet of four replicas with one class of each idempotency, and a member that has been
// running for an hour with links that have been healthy for as long.
func newCheckedFleet() (*Fleet, *member) {
	f := &Fleet{Scenario: &Scenario{Replicas: 4}, Timeline: newTimeline(), site: &site{classes: []class{
		{name: "report", idempotency: nonIdempotent}, {name: "search", idempotency: idempotent},
		{name: "update", idempotency: keyed}}}}
	f.checker = newRuleChecker(f)
	m := &member{name: "c0", links: []*Link{linkHealthyFor(time.Hour)}, discovery: linkHealthyFor(time.Hour)}
	f.checker.processStarted(m)
	f.checker.runningSince[m] = time.Now().Add(-time.Hour)
	return f, m
}

// The checker reports parts that break a rule, and accepts parts that arrive late only because of a fault.
func TestRuleCheckerFindsViolations(t *testing.T) {
	f, m := newCheckedFleet()
	r := &fleetReplica{name: "n0"}
	violations := func() int { return len(f.checker.violations) }

	// A non-idempotent part may run once. A rejected part has not run.
	f.checker.partReceived(m, r, fake.Part{ID: "report-1.0", List: "d=9"}, fake.Reject)
	f.checker.partReceived(m, r, fake.Part{ID: "report-1.0", List: "d=9"}, fake.Serve)
	if violations() > 0 {
		t.Error("the run of a report after its rejection is a violation")
	}
	f.checker.partReceived(m, r, fake.Part{ID: "report-1.0", List: "d=9"}, fake.NoReply)
	if violations() != 1 {
		t.Error("a report that ran twice is no violation")
	}

	// A draining replica may receive parts during a grace, which starts with the first notification.
	f.checker.listSent(m, fake.EndpointList{Endpoints: []fake.Endpoint{{Name: "n0", Status: "terminating"}}})
	f.checker.partReceived(m, r, fake.Part{ID: "search-1.0", List: "d=9"}, fake.Serve)
	if violations() != 1 {
		t.Error("a part within the grace is a violation")
	}
	f.checker.withdrawn[m]["n0"] = time.Now().Add(-2 * time.Second)
	f.checker.listSent(m, fake.EndpointList{Endpoints: []fake.Endpoint{{Name: "n0", Status: "terminated"}}})
	f.checker.partReceived(m, r, fake.Part{ID: "search-2.0", List: "d=9"}, fake.Serve)
	if violations() != 2 {
		t.Error("a part at a replica that has drained for 2 s is no violation")
	}

	// No violations: first the part's link had a fault until recently, then the link to discovery, then the member was
	// just resumed, then the replica is in service again.
	m.links[0] = linkHealthyFor(100 * time.Millisecond)
	f.checker.partReceived(m, r, fake.Part{ID: "search-3.0", List: "d=9"}, fake.Serve)
	m.links[0], m.discovery = linkHealthyFor(time.Hour), linkHealthyFor(900*time.Millisecond)
	f.checker.partReceived(m, r, fake.Part{ID: "search-4.0", List: "d=9"}, fake.Serve)
	m.discovery = linkHealthyFor(time.Hour)
	f.checker.processResumed(m)
	f.checker.partReceived(m, r, fake.Part{ID: "search-5.0", List: "d=9"}, fake.Serve)
	f.checker.runningSince[m] = time.Now().Add(-time.Hour)
	f.checker.listSent(m, fake.EndpointList{Endpoints: []fake.Endpoint{{Name: "n0", Status: "in_service"}}})
	f.checker.partReceived(m, r, fake.Part{ID: "search-6.0", List: "d=9"}, fake.Serve)
	if violations() != 2 {
		t.Errorf("a part that a fault delayed, or to a replica in service, is a violation: %v", f.checker.violations)
	}

	// Each part must carry its client's idempotency key, or none if the client sent none, and go to a holder of its
	// shard.
	for i, part := range []fake.Part{
		{ID: "update-1.0", List: "d=9"},
		{ID: "update-1.0", List: "d=9,k=key-update-2"},
		{ID: "search-7.0", List: "d=9,k=key-search-7"},
		{ID: "search-8.1", Shard: 1, List: "d=9"}, // n0 holds shards 0, 2 and 3
	} {
		if f.checker.partReceived(m, r, part, fake.Serve); violations() != 3+i {
			t.Errorf("%+v is no violation, or more than one", part)
		}
	}
	f.checker.partReceived(m, r, fake.Part{ID: "update-1.0", List: "d=9,k=key-update-1"}, fake.Serve)
	f.checker.partReceived(m, r, fake.Part{ID: "search-8.2", Shard: 2, List: "d=9"}, fake.Serve)
	if violations() != 6 {
		t.Errorf("a part that follows the rules is a violation: %v", f.checker.violations)
	}
	err := f.verdict()
	if err == nil || !strings.Contains(err.Error(), "ran at n0 and at n0") ||
		!strings.Contains(err.Error(), "no request was answered with status 200") {
		t.Errorf("the verdict is %v, want the part that ran twice and the missing load", err)
	}
	if !errors.Is(err, ErrRuleViolated) {
		t.Errorf("the verdict %v does not wrap ErrRuleViolated", err)
	}
}
