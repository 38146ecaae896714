package main

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"harepass/internal/decide/backoff"
	"harepass/internal/logmsg"
	"harepass/internal/test/fake"
)

// These tests reproduce the incident of 2026-12-02 (docs/incidents) on real processes and sockets.

const (
	drainGrace  = time.Second           // how long draining replicas may get parts, where the settings say nothing
	notifySlack = 50 * time.Millisecond // for a part that is on its way to its replica when the grace ends
)

// lateParts counts the parts that replicas are sent, and among them those that come although the replicas drain.
type lateParts struct {
	mu       sync.Mutex
	sent     int       // all parts
	late     int       // those that came after lateFrom
	lateFrom time.Time // when the grace of the drain is over; zero until the replicas drain
}

// watch counts the parts of replicas.
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

// drainNow begins the replicas' drain: parts are late once it counts as notified and its grace is over.
func (l *lateParts) drainNow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lateFrom = time.Now().Add(backoff.NotifiedAfter + drainGrace + notifySlack)
}

// Replicas begin to drain while discovery is crowded: watches fall silent, and polls wait and are reset. The
// coordinator cannot learn of the drain, but is bound by it: 6 s and the grace later nothing new goes to those
// replicas. Once discovery answers, the coordinator serves again by the new list.
func TestDrainBehindCrowdedDiscovery(t *testing.T) {
	t.Parallel()
	for _, fleet := range []int{3, 35, 300} {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			t.Parallel()
			p := newLimitedProcess(t, 256, 6)
			d := &crowdedDiscovery{process: p, resetDelay: 930 * time.Millisecond}
			var parts lateParts
			parts.watch(p.replicas[:2])
			startFleetMember(t, p, d, fleet)
			time.Sleep(1500 * time.Millisecond)
			parts.drainNow()
			d.crowded.Store(true)
			statuses := p.queryFor(12 * time.Second)
			d.crowded.Store(false)
			eventually(t, "it serves again", func() bool { return query(t, p.address, 0, 1, 2, 3, 4, 5) == 200 })
			parts.check(t, p, d)
			checkServedOrRejected(t, statuses)
		})
	}
}

// Replicas begin to drain while discovery answers others and rejects each poll of this coordinator with 503 at once:
// its queue is full. A rejected poll does not show that nobody can reach discovery, so the drain counts as notified 6 s
// later, and after the grace nothing new goes to those replicas. Once a poll is answered, the coordinator serves again.
func TestDrainBehindRejectingDiscovery(t *testing.T) {
	t.Parallel()
	for _, fleet := range []int{3, 24, 40, 60} {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			t.Parallel()
			playDrainBehindRejectingDiscovery(t, fleet)
		})
	}
}

// The same in fleets that discovery cannot answer before their lists expire.
func TestDrainBehindRejectingDiscoveryInLargeFleet(t *testing.T) {
	t.Parallel()
	for _, fleet := range []int{100, 300} {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			t.Parallel()
			playDrainBehindRejectingDiscovery(t, fleet)
		})
	}
}

func playDrainBehindRejectingDiscovery(t *testing.T, fleet int) {
	p := newLimitedProcess(t, 256, 6)
	d := &crowdedDiscovery{process: p}
	var parts lateParts
	parts.watch(p.replicas[:2])
	startFleetMember(t, p, d, fleet)
	time.Sleep(1500 * time.Millisecond)
	parts.drainNow()
	d.rejecting.Store(true)
	statuses := p.queryFor(12 * time.Second)
	d.rejecting.Store(false)
	eventually(t, "it serves again", func() bool { return query(t, p.address, 0, 1, 2, 3, 4, 5) == 200 })
	parts.check(t, p, d)
	checkServedOrRejected(t, statuses)
}

// check fails where a part was late, or none was sent at all.
func (l *lateParts) check(t *testing.T, p *limitedProcess, d *crowdedDiscovery) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.late > 0 {
		t.Errorf("%d of %d parts went to draining replicas after they counted as notified; failed polls: %d\n%s",
			l.late, l.sent, d.failedPolls.Load(), p.log)
	}
	if l.sent == 0 {
		t.Errorf("no load: no parts")
	}
}

// checkServedOrRejected fails where no query was served, or one ended neither with 200 nor with 429.
func checkServedOrRejected(t *testing.T, statuses map[int]int) {
	if statuses[200] == 0 {
		t.Errorf("no load: answers %v", statuses)
	}
	for status := range statuses {
		if status != 200 && status != 429 {
			t.Errorf("answers %v", statuses)
		}
	}
}

// Discovery is down for a while, with its replicas in service: watches are reset and connections refused, so nobody can
// reach it. It cannot have announced a change, so the list is used for as long as that lasts, and no query is rejected
// for it.
func TestServesWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	p := newLimitedProcess(t, 256, 6)
	d := &crowdedDiscovery{process: p}
	discovery := startFleetMember(t, p, d, 35)
	time.Sleep(1500 * time.Millisecond)
	discovery.goDown()
	for end := time.Now().Add(2 * backoff.NotifiedAfter); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if status := query(t, p.address, 0, 1, 2, 3, 4, 5); status != 200 {
			t.Fatalf("a query ended with %d\n%s", status, p.log)
		}
	}
	if !p.logged("connection refused") {
		t.Error("discovery was not polled while it was down")
	}
}

// A process is killed and comes back while discovery is down. Its stored list is older than that of its configuration,
// and only the latter has a replica as draining. The process begins with the later list, and sends that replica
// nothing.
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
	eventually(t, "it serves again", func() bool {
		return strings.Count(p.log.String(), logmsg.PhaseChanged+` phase=ready`) == 2
	})
	for range 20 {
		if status := query(t, p.address, 0, 1, 2, 3, 4, 5); status != 200 {
			t.Errorf("a query ended with %d", status)
		}
	}
	if n := len(p.replicas[2].Received()) - before; n > 0 {
		t.Errorf("%d parts went to a replica that the configuration's list has as draining\n%s", n, p.log)
	}
}
