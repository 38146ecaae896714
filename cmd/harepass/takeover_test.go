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

// Several upgrades run under load. In each, a replica is taken out of service at one version and put back at the next.
// No request is lost or rejected, and the replica receives nothing in between although discovery lists it as running.
func TestUpgradesUnderLoadLoseNoRequest(t *testing.T) {
	h := newHost(t)
	running := h.waitReady(h.start())
	if answer := running.CallAdmin("maint-on nobody"); !strings.HasPrefix(answer, "400") {
		t.Errorf("maint-on with an unknown id: answer %q, want 400", answer)
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

// upgradeDuringMaintenance takes one replica out of service at the old process and puts it back at the new process
// after the old one has ended. While both run, it takes another replica out of service at the new process and puts it
// back at the old one. It returns the new process.
func (h *host) upgradeDuringMaintenance(old *faultinjection.Process, replica, other int) *faultinjection.Process {
	h.t.Helper()
	h.setMaintenance(old, replica, true)
	next := h.waitReady(h.start())
	h.setMaintenance(next, other, true) // replicas that were never out take what those in slow start may not
	time.Sleep(maintenanceSlack + 200*time.Millisecond)
	h.setMaintenance(old, other, false)
	h.terminate(old)
	time.Sleep(300 * time.Millisecond)
	h.setMaintenance(next, replica, false)
	return next
}

// Processes are killed or suspended at different steps of an upgrade. The old process continues to serve regardless of
// the new one. If the old one is suspended or killed, a ready new process continues to serve without the replicas that
// were taken out of service, and a new process that is not yet ready still becomes ready. Only requests that were open
// in a killed process are lost.
func TestKilledProcessLeavesTheOtherServing(t *testing.T) {
	h := newHost(t)
	old := h.waitReady(h.start())
	clients := h.StartClients(8)
	h.setMaintenance(old, 0, true)
	h.killNewProcessesWhileStarting()
	h.killNewProcessWhileSuspended()
	if !old.Serves() {
		t.Error("the old process does not serve after new processes were killed")
	}
	h.setMaintenance(old, 1, true)
	next := h.waitReady(h.start())
	h.suspendOldProcess(old, next)
	h.kill(old)
	time.Sleep(maintenanceSlack)
	last := h.start()
	h.kill(next) // before the last process, which takes over, is ready
	h.waitReady(last)
	time.Sleep(300 * time.Millisecond)
	for replica := range 3 { // each was taken out of service at a process that has been killed since
		h.setMaintenance(last, replica, false)
	}
	clients.Stop()
	h.terminate(last)
	if lost := h.checkOutcomes(clients, "lost")["lost"]; lost > 16 {
		t.Errorf("%d requests lost, want at most 16: two processes were killed with at most 8 clients each", lost)
	}
}

// killNewProcessesWhileStarting starts new processes one after the other and kills each at a different time after its
// start.
func (h *host) killNewProcessesWhileStarting() {
	h.t.Helper()
	for _, after := range []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond, 60 * time.Millisecond} {
		next := h.start()
		time.Sleep(after)
		h.kill(next)
	}
}

// killNewProcessWhileSuspended suspends a new process before it accepts connections, and kills it while it is
// suspended.
func (h *host) killNewProcessWhileSuspended() {
	h.t.Helper()
	suspended := h.start()
	suspended.Process.Signal(syscall.SIGSTOP)
	time.Sleep(300 * time.Millisecond)
	h.kill(suspended)
}

// suspendOldProcess suspends the old process, which also blocks its clients, while the new process takes replica 2 out
// of service. Then the old process continues beside the new one.
func (h *host) suspendOldProcess(old, next *faultinjection.Process) {
	h.t.Helper()
	old.Process.Signal(syscall.SIGSTOP)
	h.setMaintenance(next, 2, true)
	time.Sleep(300 * time.Millisecond)
	old.Process.Signal(syscall.SIGCONT)
	h.waitReady(old)
	time.Sleep(300 * time.Millisecond)
}

// An upgrade runs while links are broken: discovery is cut off, the responses of one replica are lost, the connections
// of another are reset repeatedly, and the responses of a third are delayed. No rule is broken during that time, the
// new version starts with the stored list, and all requests are served again once the links are restored.
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
	h.checkOutcomes(clients, "500", "429") // reports lost by a reset, and queries without a response in time
	h.checkServedAgain(next)
}

// cutDiscovery cuts the link to discovery in both directions, or restores it.
func (h *host) cutDiscovery(cut bool) {
	h.Discovery.Cut(faultinjection.ToServer, cut)
	h.Discovery.Cut(faultinjection.ToClient, cut)
}

// breakLinks cuts off discovery, drops the responses of replica 0 and delays those of replica 1.
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

// resetConnections resets the connections to a replica repeatedly for half a second.
func (h *host) resetConnections(replica int) {
	for range 10 {
		h.Replicas[replica].Link.Reset()
		time.Sleep(50 * time.Millisecond)
	}
}

// checkServedAgain runs new clients for four seconds and then ends the process. It fails if fewer than 20 requests are
// served in the last second, or if any request fails after the first three seconds.
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
		h.t.Errorf("after the links are restored: outcomes %v after 3 s and %v at the end", before, after)
	}
}

// A process with a stored list starts while discovery is cut off, and becomes ready nevertheless. Reading the list from
// the state file races with discovery's failure. Readiness must not depend on which comes first, so the test runs
// several times.
func TestReadyWithListWhileDiscoveryIsSilent(t *testing.T) {
	for range 4 {
		h := newHost(t)
		first := h.waitReady(h.start()) // without a stored list, it waits for discovery
		if n := h.ListsServed.Load(); n < 1 {
			t.Fatalf("ready after %d lists from discovery, want at least 1", n)
		}
		h.waitListStored()
		h.cutDiscovery(true)
		next := h.waitReady(h.start())
		h.kill(first)
		h.kill(next)
	}
}

// The platform passes a descriptor that is not a listener, or an admin address that is in use or invalid. A process
// that served without them would appear healthy although no client or operator can reach it, so it reports the fault
// and exits.
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
			t.Errorf("with %s: exit %v, log %s", tc.set, err, p.Log())
		}
	}
	var exit *exec.ExitError
	if p := h.start("PROXY_FD=x"); !errors.As(<-p.Exited, &exit) || exit.ExitCode() != statusInvalid {
		t.Errorf("with PROXY_FD=x: exit status %v, want 2", exit)
	}
}
