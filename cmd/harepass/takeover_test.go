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
	running := h.waitReady(h.start())
	if answer := running.CallAdmin("maint-on nobody"); !strings.HasPrefix(answer, "400") {
		t.Errorf("an id that nobody has: %q", answer)
	}
	const upgrades = 3
	clients := h.StartClients(12)
	for i := range upgrades {
		time.Sleep(300 * time.Millisecond)
		running = h.upgradeDuringMaintenance(running, i, i+1)
	}
	clients.Stop()
	h.terminate(running)
	h.checkOutcomes(clients)
	if unsure, unheard := clients.Unanswered(); unheard > 2*upgrades || unsure > unheard {
		t.Errorf("%d connections ended under a request, %d of them unheard, in %d upgrades", unsure, unheard, upgrades)
	}
}

// upgradeDuringMaintenance takes one replica out at the old process and calls it back at the new one, after the old one
// has ended. Another replica is taken out at the new process and called back at the old one, while both run. It
// returns the new process.
func (h *host) upgradeDuringMaintenance(old *faultinjection.Process, replica, other int) *faultinjection.Process {
	h.t.Helper()
	h.setMaintenance(old, replica, true)
	next := h.waitReady(h.start())
	h.setMaintenance(next, other, true) // those that were never out serve what warming ones may not
	time.Sleep(maintenanceSlack + 200*time.Millisecond)
	h.setMaintenance(old, other, false)
	h.terminate(old)
	time.Sleep(300 * time.Millisecond)
	h.setMaintenance(next, replica, false)
	return next
}

// A process of an upgrade is killed at any step, or is suspended. The old one serves on whatever happens to the new
// one. A new one that is ready serves on when the old one is suspended or killed, without the replicas that were taken
// out, and one that is not ready comes up all the same. Only what the killed ones had under way is lost.
func TestKilledProcessLeavesTheOtherServing(t *testing.T) {
	h := newHost(t)
	old := h.waitReady(h.start())
	clients := h.StartClients(8)
	h.setMaintenance(old, 0, true)
	h.killNewProcessesWhileStarting()
	h.killNewProcessWhileSuspended()
	if !old.Serves() {
		t.Error("the old one does not serve")
	}
	h.setMaintenance(old, 1, true)
	next := h.waitReady(h.start())
	h.suspendOldProcess(old, next)
	h.kill(old)
	time.Sleep(maintenanceSlack)
	last := h.start()
	h.kill(next) // before the one that is to take over is ready
	h.waitReady(last)
	time.Sleep(300 * time.Millisecond)
	for replica := range 3 { // were taken out at three processes, of which none is left
		h.setMaintenance(last, replica, false)
	}
	clients.Stop()
	h.terminate(last)
	if lost := h.checkOutcomes(clients, "lost")["lost"]; lost > 16 {
		t.Errorf("%d requests lost with two processes that had 8 clients at most", lost)
	}
}

// killNewProcessesWhileStarting kills one new process after the other, each some time after its start.
func (h *host) killNewProcessesWhileStarting() {
	h.t.Helper()
	for _, after := range []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond, 60 * time.Millisecond} {
		next := h.start()
		time.Sleep(after)
		h.kill(next)
	}
}

// killNewProcessWhileSuspended suspends a new process before it accepts anything, and kills it so.
func (h *host) killNewProcessWhileSuspended() {
	h.t.Helper()
	suspended := h.start()
	suspended.Process.Signal(syscall.SIGSTOP)
	time.Sleep(300 * time.Millisecond)
	h.kill(suspended)
}

// suspendOldProcess suspends the old process, and with it its clients, while the new one takes replica 2 out. Then the
// old one goes on, beside the new one.
func (h *host) suspendOldProcess(old, next *faultinjection.Process) {
	h.t.Helper()
	old.Process.Signal(syscall.SIGSTOP)
	h.setMaintenance(next, 2, true)
	time.Sleep(300 * time.Millisecond)
	old.Process.Signal(syscall.SIGCONT)
	h.waitReady(old)
	time.Sleep(300 * time.Millisecond)
}

// An upgrade behind broken links: discovery is cut off, a replica's responses do not arrive, another's connections are
// reset again and again, a third one is late. No rule is broken meanwhile, the new version begins with the stored
// list, and everything is served again once the links are restored.
func TestUpgradeBehindBrokenLinks(t *testing.T) {
	h := newHost(t)
	old := h.waitReady(h.start())
	h.waitListStored()
	clients := h.StartClients(8)
	time.Sleep(500 * time.Millisecond)
	h.breakLinks()
	h.setMaintenance(old, 3, true)
	next := h.waitReady(h.start())
	h.resetConnections(2)
	h.terminate(old)
	time.Sleep(maintenanceSlack)
	h.restoreLinks()
	h.setMaintenance(next, 3, false)
	time.Sleep(300 * time.Millisecond)
	clients.Stop()
	h.checkOutcomes(clients, "500", "429") // reports lost with a reset, and queries that a silent replica outlasted
	h.checkServedAgain(next)
}

// cutDiscovery cuts the link to discovery in both directions, or restores it.
func (h *host) cutDiscovery(cut bool) {
	h.Discovery.Cut(faultinjection.ToServer, cut)
	h.Discovery.Cut(faultinjection.ToClient, cut)
}

// breakLinks cuts discovery off, keeps replica 0's responses from arriving and makes those of replica 1 late.
func (h *host) breakLinks() {
	h.cutDiscovery(true)
	h.Replicas[0].Link.Cut(faultinjection.ToClient, true)
	h.Replicas[1].Link.Delay(30 * time.Millisecond)
}

// restoreLinks undoes breakLinks.
func (h *host) restoreLinks() {
	h.cutDiscovery(false)
	h.Replicas[0].Link.Cut(faultinjection.ToClient, false)
	h.Replicas[1].Link.Delay(0)
}

// resetConnections resets the connections to a replica again and again, for half a second.
func (h *host) resetConnections(replica int) {
	for range 10 {
		h.Replicas[replica].Link.Reset()
		time.Sleep(50 * time.Millisecond)
	}
}

// checkServedAgain ends a process after some seconds with new clients. It fails where few requests are served in the
// last second, or more fail than before it.
func (h *host) checkServedAgain(p *faultinjection.Process) {
	h.t.Helper()
	clients := h.StartClients(4)
	time.Sleep(3 * time.Second)
	before := clients.Outcomes()
	time.Sleep(time.Second)
	clients.Stop()
	h.terminate(p)
	after := clients.Outcomes()
	failed := func(tally map[string]int) int { return tally["500"] + tally["429"] + tally["lost"] }
	if after["200"]-before["200"] < 20 || failed(after) > failed(before) {
		h.t.Errorf("after the links are restored: %v, then %v", before, after)
	}
}

// Discovery is cut off when a process starts that has a stored list. It is ready all the same. The list comes from the
// state file, and discovery's failure races with it; readiness must not depend on which comes first, so there are
// several attempts.
func TestReadyWithListWhileDiscoveryIsSilent(t *testing.T) {
	for range 4 {
		h := newHost(t)
		first := h.waitReady(h.start()) // without a list it waits for one
		if n := h.ListsServed.Load(); n < 1 {
			t.Fatalf("ready after %d answers", n)
		}
		h.waitListStored()
		h.cutDiscovery(true)
		next := h.waitReady(h.start())
		h.kill(first)
		h.kill(next)
	}
}

// The platform hands down a descriptor that is no listener, or an admin address that is in use or no address. A process
// that served without them would look well while no client or operator reaches it; so it says what is wrong, and ends.
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
