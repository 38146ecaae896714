package main

import (
	"fmt"
	"os/exec"
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
	drainGrace  = time.Second           // the grace of draining replicas, where the settings say nothing
	notifySlack = 50 * time.Millisecond // for a part that is on its way to its replica when the grace ends
)

// lateParts counts the parts that replicas are sent, and those that come after they may not get any more.
type lateParts struct {
	mu         sync.Mutex
	sent, late int
	lateFrom   time.Time // zero until the replicas drain
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

// drainNow has parts count as late once the drain counts as notified and its grace is over.
func (l *lateParts) drainNow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lateFrom = time.Now().Add(backoff.NotifiedAfter + drainGrace + notifySlack)
}

// A replica begins to drain while discovery is crowded: watches fall silent, and polls wait and are reset. Whatever
// the coordinator does about its list, 6 s and the grace later nothing new goes to that replica; and once discovery
// answers, it serves again by the new list.
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
			statuses := map[int]int{}
			for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				statuses[query(t, p.address, 0, 1, 2, 3, 4, 5)]++
			}
			d.crowded.Store(false)
			eventually(t, "it serves again", func() bool { return query(t, p.address, 0, 1, 2, 3, 4, 5) == 200 })
			parts.mu.Lock()
			defer parts.mu.Unlock()
			if parts.late > 0 {
				t.Errorf("%d of %d parts went to draining replicas after they counted as notified; failed polls: %d\n%s",
					parts.late, parts.sent, d.failedPolls.Load(), p.log)
			}
			if parts.sent == 0 || statuses[200] == 0 {
				t.Errorf("no load: %d parts, answers %v", parts.sent, statuses)
			}
			for status := range statuses {
				if status != 200 && status != 429 {
					t.Errorf("answers %v", statuses)
				}
			}
		})
	}
}

// Discovery is down for a while, with its replicas in service. Nobody can have been notified of anything, so the list
// is used for as long as that lasts, and no query is rejected for it.
func TestServesWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	p := newLimitedProcess(t, 256, 6)
	d := &crowdedDiscovery{process: p}
	startFleetMember(t, p, d, 35)
	time.Sleep(1500 * time.Millisecond)
	d.down.Store(true)
	for end := time.Now().Add(2 * backoff.NotifiedAfter); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if status := query(t, p.address, 0, 1, 2, 3, 4, 5); status != 200 {
			t.Fatalf("a query ended with %d\n%s", status, p.log)
		}
	}
	if d.failedPolls.Load() == 0 {
		t.Error("nobody polled")
	}
}

// A process is killed and comes back while discovery is down, so that nothing but its configuration says that a
// replica drains. It begins with the later one of two lists: the stored one and that of its configuration.
func TestStartsWithTheLaterList(t *testing.T) {
	t.Parallel()
	p := newLimitedProcess(t, 256, 6)
	d := &crowdedDiscovery{process: p}
	dir := t.TempDir()
	p.Env = append(p.Env, "TMPDIR="+dir, "PROXY_OPERATOR="+ownAddress(t))
	discovery := startFleetMember(t, p, d, 3)
	d.failedPolls.Add(1) // discovery's list changes
	eventually(t, "the list is stored", func() bool {
		files := storedState(dir)
		return len(files) == 1 && strings.Contains(files[0], `"terminating"`)
	})
	d.down.Store(true)
	p.Process.Kill()
	p.Wait()
	p.writeConfig(p.listing(3, func(i int) string {
		if i == 2 {
			return "terminating"
		}
		return "in_service"
	}), discovery)
	again := exec.Command(p.Path, p.Args[1:]...)
	again.Env, again.Stderr = p.Env, p.log
	before := len(p.replicas[2].Received())
	if err := again.Start(); err != nil {
		t.Fatal(err)
	}
	p.Cmd = again
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
