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

// newCheckedFleet returns a fleet of four replicas with a class of each idempotency, and a member of it that has long
// been running on links that have long been healthy.
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

// The checker sees what breaks a rule, and lets pass what a fault has merely held up.
func TestRuleCheckerFindsViolations(t *testing.T) {
	f, m := newCheckedFleet()
	r := &fleetReplica{name: "n0"}
	violations := func() int { return len(f.checker.violations) }

	// A non-idempotent part may run once; a rejected one has not run.
	f.checker.partReceived(m, r, fake.Part{ID: "report-1.0", List: "d=9"}, fake.Reject)
	f.checker.partReceived(m, r, fake.Part{ID: "report-1.0", List: "d=9"}, fake.Serve)
	if violations() > 0 {
		t.Error("a report that was rejected has not run")
	}
	f.checker.partReceived(m, r, fake.Part{ID: "report-1.0", List: "d=9"}, fake.NoReply)
	if violations() != 1 {
		t.Error("a report that ran twice passes")
	}

	// A replica that drains may be sent to for a grace, which counts from the first notification.
	f.checker.listSent(m, fake.EndpointList{Endpoints: []fake.Endpoint{{Name: "n0", Status: "terminating"}}})
	f.checker.partReceived(m, r, fake.Part{ID: "search-1.0", List: "d=9"}, fake.Serve)
	if violations() != 1 {
		t.Error("a part within the grace is a violation")
	}
	f.checker.withdrawn[m]["n0"] = time.Now().Add(-2 * time.Second)
	f.checker.listSent(m, fake.EndpointList{Endpoints: []fake.Endpoint{{Name: "n0", Status: "terminated"}}})
	f.checker.partReceived(m, r, fake.Part{ID: "search-2.0", List: "d=9"}, fake.Serve)
	if violations() != 2 {
		t.Error("a part at a replica that has drained for 2 s passes")
	}

	// The part was held up on its way; then discovery's list was; then the member had just been resumed; then the
	// replica is back.
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
		t.Errorf("what a fault held up is a violation: %v", f.checker.violations)
	}

	// Each part comes with its client's key or none, and to a holder of its shard.
	for i, part := range []fake.Part{
		{ID: "update-1.0", List: "d=9"},
		{ID: "update-1.0", List: "d=9,k=key-update-2"},
		{ID: "search-7.0", List: "d=9,k=key-search-7"},
		{ID: "search-8.1", Shard: 1, List: "d=9"}, // n0 holds 0, 2 and 3
	} {
		if f.checker.partReceived(m, r, part, fake.Serve); violations() != 3+i {
			t.Errorf("%+v passes", part)
		}
	}
	f.checker.partReceived(m, r, fake.Part{ID: "update-1.0", List: "d=9,k=key-update-1"}, fake.Serve)
	f.checker.partReceived(m, r, fake.Part{ID: "search-8.2", Shard: 2, List: "d=9"}, fake.Serve)
	if violations() != 6 {
		t.Errorf("what keeps the rules is a violation: %v", f.checker.violations)
	}
	err := f.verdict()
	if err == nil || !strings.Contains(err.Error(), "ran at n0 and at n0") ||
		!strings.Contains(err.Error(), "nothing was served") {
		t.Errorf("the verdict is %v", err)
	}
	if !errors.Is(err, ErrRuleViolated) {
		t.Errorf("the verdict %v is no ErrRuleViolated", err)
	}
}
