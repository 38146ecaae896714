package main

import (
	"errors"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"harepass/internal/test/faultinjection"
)

// Upgrades under load, one after the other, with a replica taken out at one version and called back at a later one. No
// request is lost or rejected, and nothing reaches the replica meanwhile, though discovery says that it runs.
func TestUpgradesUnderLoadLoseNoRequest(t *testing.T) {
	h := newHost(t)
	now := h.waitReady(h.start())
	if answer := now.CallAdmin("maint-on nobody"); !strings.HasPrefix(answer, "400") {
		t.Errorf("an id that nobody has: %q", answer)
	}
	const upgrades = 3
	c := h.StartClients(12)
	for i := range upgrades {
		time.Sleep(300 * time.Millisecond)
		h.setMaintenance(now, i, true)
		next := h.waitReady(h.start())
		h.setMaintenance(next, i+1, true) // while both run; those that were never out serve what warming ones may not
		time.Sleep(maintenanceSlack + 200*time.Millisecond)
		h.setMaintenance(now, i+1, false)
		h.terminate(now)
		time.Sleep(300 * time.Millisecond)
		h.setMaintenance(next, i, false)
		now = next
	}
	c.Stop()
	h.terminate(now)
	h.checkOutcomes(c)
	if unsure, unheard := c.Unanswered(); unheard > 2*upgrades || unsure > unheard {
		t.Errorf("%d connections ended under a request, %d of them unheard, in %d upgrades", unsure, unheard, upgrades)
	}
}

// A process of an upgrade is killed at any step, or is suspended. The old one serves on whatever happens to the new
// one. A new one that is ready serves on when the old one is suspended or killed, without the replicas that were taken
// out, and one that is not ready comes up all the same. Only what the killed ones had under way is lost.
func TestKilledProcessLeavesTheOtherServing(t *testing.T) {
	h := newHost(t)
	now := h.waitReady(h.start())
	c := h.StartClients(8)
	h.setMaintenance(now, 0, true)
	for _, after := range []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond, 60 * time.Millisecond} {
		next := h.start()
		time.Sleep(after)
		h.kill(next)
	}
	suspended := h.start()
	suspended.Process.Signal(syscall.SIGSTOP) // before it accepts anything
	time.Sleep(300 * time.Millisecond)
	h.kill(suspended)
	if !now.Serves() {
		t.Error("the old one does not serve")
	}
	h.setMaintenance(now, 1, true)
	next := h.waitReady(h.start())
	now.Process.Signal(syscall.SIGSTOP) // the old one is suspended, and with it its clients
	h.setMaintenance(next, 2, true)
	time.Sleep(300 * time.Millisecond)
	now.Process.Signal(syscall.SIGCONT)
	h.waitReady(now)
	time.Sleep(300 * time.Millisecond)
	h.kill(now)
	time.Sleep(maintenanceSlack)
	last := h.start()
	h.kill(next) // before the one that is to take over is ready
	h.waitReady(last)
	time.Sleep(300 * time.Millisecond)
	for i := range 3 {
		h.setMaintenance(last, i, false)
	}
	c.Stop()
	h.terminate(last)
	if lost := h.checkOutcomes(c, "lost")["lost"]; lost > 16 {
		t.Errorf("%d requests lost with two processes that had 8 clients at most", lost)
	}
}

// An upgrade behind broken links: discovery is cut off, a replica's responses do not arrive, another's connections are
// reset again and again, a third one is late. No rule is broken meanwhile, the new version begins with the stored
// list, and everything is served again once the links are restored.
func TestUpgradeBehindBrokenLinks(t *testing.T) {
	h := newHost(t)
	now := h.waitReady(h.start())
	h.waitListStored()
	c := h.StartClients(8)
	time.Sleep(500 * time.Millisecond)
	h.Discovery.Cut(faultinjection.ToServer, true)
	h.Discovery.Cut(faultinjection.ToClient, true)
	h.Replicas[0].Link.Cut(faultinjection.ToClient, true)
	h.Replicas[1].Link.Delay(30 * time.Millisecond)
	h.setMaintenance(now, 3, true)
	next := h.waitReady(h.start())
	for range 10 {
		h.Replicas[2].Link.Reset()
		time.Sleep(50 * time.Millisecond)
	}
	h.terminate(now)
	time.Sleep(maintenanceSlack)
	h.Discovery.Cut(faultinjection.ToServer, false)
	h.Discovery.Cut(faultinjection.ToClient, false)
	h.Replicas[0].Link.Cut(faultinjection.ToClient, false)
	h.Replicas[1].Link.Delay(0)
	h.setMaintenance(next, 3, false)
	time.Sleep(300 * time.Millisecond)
	c.Stop()
	h.checkOutcomes(c, "500", "429") // reports lost with a reset, and queries that a silent replica outlasted
	healed := h.StartClients(4)
	time.Sleep(3 * time.Second)
	before := healed.Outcomes()
	time.Sleep(time.Second)
	healed.Stop()
	h.terminate(next)
	after := healed.Outcomes()
	failed := func(tally map[string]int) int { return tally["500"] + tally["429"] + tally["lost"] }
	if after["200"]-before["200"] < 20 || failed(after) > failed(before) {
		t.Errorf("after the links are restored: %v, then %v", before, after)
	}
}

// Discovery is cut off when a process starts that has a stored list. It is ready all the same. Whether it was depended
// on a race between its two sources once, so it is tried several times.
func TestReadyWithListWhileDiscoveryIsSilent(t *testing.T) {
	for range 4 {
		h := newHost(t)
		first := h.waitReady(h.start()) // without a list it waits for one
		if n := h.ListsServed.Load(); n < 1 {
			t.Fatalf("ready after %d answers", n)
		}
		h.waitListStored()
		h.Discovery.Cut(faultinjection.ToServer, true)
		h.Discovery.Cut(faultinjection.ToClient, true)
		next := h.waitReady(h.start())
		h.kill(first)
		h.kill(next)
	}
}

// A process without the listener that it is to have, or whose admin address is in use, says so and ends.
func TestBadDescriptorOrAdminAddressEndsProcess(t *testing.T) {
	h := newHost(t)
	for _, tc := range []struct{ set, want string }{
		{"PROXY_FD=x", `PROXY_FD "x" is no descriptor`},
		{"PROXY_FD=3", "no listening socket"},
		{"PROXY_FD=77", "bad file descriptor"},
		{"PROXY_OPERATOR=" + h.ClientListener.Addr().String(), "admin endpoint: "},
		{"PROXY_OPERATOR=nowhere", "operator address"},
	} {
		p := h.start(tc.set)
		if err := <-p.Exited; err == nil || !strings.Contains(p.Log(), tc.want) || strings.Contains(p.Log(), "panic") {
			t.Errorf("%s: %v %s", tc.set, err, p.Log())
		}
	}
	var exit *exec.ExitError
	if p := h.start("PROXY_FD=x"); !errors.As(<-p.Exited, &exit) || exit.ExitCode() != statusInvalid {
		t.Errorf("status %v, want 2", exit)
	}
}
