package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"harepass/internal/decide/backoff"
	"harepass/internal/logmsg"
	"harepass/internal/test/fake"
)

// These tests reproduce the incident of 2026-12-02 (docs/incidents) on real processes and sockets.

const (
	drainGrace  = time.Second           // default time for which draining replicas may still get parts
	notifySlack = 50 * time.Millisecond // for a part that is in transit to its replica when the grace ends
)

// lateParts counts all parts that replicas receive, and those that draining replicas receive too late.
type lateParts struct {
	mu       sync.Mutex
	sent     int       // all parts
	late     int       // parts that arrived after lateFrom
	lateFrom time.Time // end of the drain's grace; zero until the replicas drain
}

// watch counts the parts that the replicas receive.
func (l *lateParts) watch(replicas []*fake.Replicas) {
	for _, r := range replicas {
		r.OnPart = func(fake.Part, fake.Kind) {
			l.mu.Lock()
			defer l.mu.Unlock()
			if l.sent++; !l.lateFrom.IsZero() && time.Now().After(l.lateFrom) {
				l.late++
			}
		}
	}
}

// drainNow starts the drain of the replicas: parts are late once the drain counts as notified and its grace is over.
func (l *lateParts) drainNow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lateFrom = time.Now().Add(backoff.NotifiedAfter + drainGrace + notifySlack)
}

// Replicas begin to drain while discovery is overloaded: watches get no answer, and each poll waits until its
// connection is reset. The coordinator cannot learn of the drain but has to respect it: after 6 s and the grace, it
// sends no new part to those replicas. Once discovery answers, the coordinator serves again with the new list.
func TestDrainBehindCrowdedDiscovery(t *testing.T) {
	t.Parallel()
	for _, fleet := range []int{3, 35, 300} {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			t.Parallel()
			playDrain(t, fleet, func(d *crowdedDiscovery) *atomic.Bool {
				d.resetDelay = 930 * time.Millisecond
				return &d.crowded
			})
		})
	}
}

// Replicas begin to drain while discovery answers other callers but rejects each poll of this coordinator with 503 at
// once, because its queue is full. A rejected poll does not show that discovery is unreachable for everyone, so the
// drain counts as notified 6 s later, and after the grace those replicas get no new part. Once a poll is answered, the
// coordinator serves again.
func TestDrainBehindRejectingDiscovery(t *testing.T) {
	t.Parallel()
	for _, fleet := range []int{3, 24, 40, 60} {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			t.Parallel()
			playDrainBehindRejectingDiscovery(t, fleet)
		})
	}
}

// The same as TestDrainBehindRejectingDiscovery, in fleets so large that discovery cannot answer all members before
// their lists expire.
func TestDrainBehindRejectingDiscoveryInLargeFleet(t *testing.T) {
	t.Parallel()
	for _, fleet := range []int{100, 300} {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			t.Parallel()
			playDrainBehindRejectingDiscovery(t, fleet)
		})
	}
}

// playDrainBehindRejectingDiscovery drains two replicas while discovery rejects the polls of one member of a fleet.
func playDrainBehindRejectingDiscovery(t *testing.T, fleet int) {
	playDrain(t, fleet, func(d *crowdedDiscovery) *atomic.Bool { return &d.rejecting })
}

// playDrain drains two replicas while discovery has a fault for one member of a fleet. prepare returns the switch that
// turns the fault on. No part may reach those replicas too late, each query has to be served or rejected, and the member
// has to serve again after the fault.
func playDrain(t *testing.T, fleet int, prepare func(d *crowdedDiscovery) (fault *atomic.Bool)) {
	p := newLimitedProcess(t, 256, 6)
	d := &crowdedDiscovery{process: p}
	fault := prepare(d)
	var parts lateParts
	parts.watch(p.replicas[:2])
	startFleetMember(t, p, d, fleet)
	time.Sleep(1500 * time.Millisecond)
	parts.drainNow()
	fault.Store(true)
	statuses := p.queryFor(12 * time.Second)
	fault.Store(false)
	eventually(t, "service resumes", func() bool { return query(t, p.address, 0, 1, 2, 3, 4, 5) == 200 })
	parts.check(t, p, d)
	checkServedOrRejected(t, statuses)
}

// check fails if a part was late, or if no part was sent at all.
func (l *lateParts) check(t *testing.T, p *limitedProcess, d *crowdedDiscovery) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.late > 0 {
		t.Errorf("%d of %d parts reached draining replicas after notification and grace; failed polls: %d\n%s",
			l.late, l.sent, d.failedPolls.Load(), p.log)
	}
	if l.sent == 0 {
		t.Errorf("the replicas received no parts")
	}
}

// checkServedOrRejected fails if no query was served, or if a query ended with a status other than 200 and 429.
func checkServedOrRejected(t *testing.T, statuses map[int]int) {
	if statuses[200] == 0 {
		t.Errorf("no query was served; answers by status %v", statuses)
	}
	for status := range statuses {
		if status != 200 && status != 429 {
			t.Errorf("answers by status %v, want only 200 and 429", statuses)
		}
	}
}

// Discovery is down for a while, with its replicas in service: watches are reset and connections refused, so it is
// unreachable for everyone. It cannot have announced a change, so the coordinator uses its list for as long as
// discovery is down and rejects no query because of it.
func TestServesWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	p := newLimitedProcess(t, 256, 6)
	d := &crowdedDiscovery{process: p}
	discovery := startFleetMember(t, p, d, 35)
	time.Sleep(1500 * time.Millisecond)
	discovery.goDown()
	for end := time.Now().Add(2 * backoff.NotifiedAfter); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if status := query(t, p.address, 0, 1, 2, 3, 4, 5); status != 200 {
			t.Fatalf("query while discovery is down: status %d, want 200\n%s", status, p.log)
		}
	}
	if !p.logged("connection refused") {
		t.Error("the log has no refused poll while discovery was down")
	}
}

// A process is killed and restarted while discovery rejects its polls. Its stored list is older than the list in its
// configuration, and only the latter lists replica 2 as draining. The process starts with the later list and sends no
// part to that replica.
func TestStartsWithTheLaterList(t *testing.T) {
	t.Parallel()
	p := newLimitedProcess(t, 256, 6)
	d := &crowdedDiscovery{process: p}
	dir := t.TempDir()
	p.Env = append(p.Env, "TMPDIR="+dir, "PROXY_OPERATOR="+ownAddress(t))
	discovery := startFleetMember(t, p, d, 3)
	d.listChanged.Store(true)
	eventually(t, "the list is stored", func() bool {
		files := storedState(dir)
		return len(files) == 1 && strings.Contains(files[0], `"terminating"`)
	})
	d.rejecting.Store(true)
	p.Process.Kill()
	p.Wait()
	onlyReplica2Drains := func(replica int) string {
		if replica == 2 {
			return "terminating"
		}
		return "in_service"
	}
	p.writeConfig(p.listing(3, onlyReplica2Drains), discovery.Addr().String())
	before := len(p.replicas[2].Received())
	p.startAgain()
	eventually(t, "service resumes", func() bool {
		return strings.Count(p.log.String(), logmsg.PhaseChanged+` phase=ready`) == 2
	})
	for range 20 {
		if status := query(t, p.address, 0, 1, 2, 3, 4, 5); status != 200 {
			t.Errorf("query: status %d, want 200", status)
		}
	}
	if n := len(p.replicas[2].Received()) - before; n > 0 {
		t.Errorf("%d parts went to the replica that is draining in the configuration's list\n%s", n, p.log)
	}
}
