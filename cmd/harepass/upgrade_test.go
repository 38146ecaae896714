package main

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"harepass/internal/test/faultinjection"
)

const ruleSlack = 1050 * time.Millisecond // after the yes nothing new may be sent; the platform's slack is in it

// host is the rig with the test's way to say that something went wrong.
type host struct {
	*faultinjection.Host
	t *testing.T
}

func newHost(t *testing.T) *host {
	settings, err := os.ReadFile("../../deploy/settings.example.json")
	if err != nil {
		t.Fatal(err)
	}
	settings = bytes.Replace(settings, []byte(`"push"`), []byte(`"ask"`), 1)
	settings = bytes.Replace(settings, []byte(`"rules": {`), []byte(`"rules": {"ask_every_us": 20000000, `), 1)
	settings = regexp.MustCompile(`"quota_per_s": [0-9.]+`).ReplaceAll(settings, []byte(`"quota_per_s": 5000`)) // the crowd is within its share
	h, err := faultinjection.NewHost(faultinjection.HostConfig{Dir: t.TempDir(), Command: []string{os.Args[0], "serve"}, Env: []string{"HAREPASS_TEST_RUN=1"},
		Settings: settings, Replicas: 6, ServiceTime: 20 * time.Millisecond, MaintenanceGrace: ruleSlack})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { h.Close() })
	return &host{h, t}
}

// must ends the test where something went wrong that the rest stands on.
func (h *host) must(err error) {
	h.t.Helper()
	if err != nil {
		h.t.Fatal(err)
	}
}

func (h *host) begin(env ...string) *faultinjection.Process {
	h.t.Helper()
	p, err := h.Start(env...)
	h.must(err)
	h.t.Cleanup(func() {
		if h.t.Failed() {
			h.t.Logf("process %d:\n%s", p.Process.Pid, p.Log())
		}
	})
	return p
}

func (h *host) ready(p *faultinjection.Process) *faultinjection.Process {
	eventually(h.t, "a yes", p.Serves)
	return p
}

func (h *host) ban(p *faultinjection.Process, i int, out bool) {
	h.t.Helper()
	h.must(h.SetMaintenance(p, i, out))
}

// end is a planned one.
func (h *host) end(p *faultinjection.Process) {
	h.t.Helper()
	p.Process.Signal(syscall.SIGTERM)
	if err := <-p.Exited; err != nil {
		h.t.Errorf("exit: %v", err)
	}
}

func (h *host) kill(p *faultinjection.Process) {
	p.Process.Kill()
	<-p.Exited
}

// only holds what became of a crowd's requests, and the nodes' records, against what may be.
func (h *host) only(c *faultinjection.ClientPool, what ...string) map[string]int {
	h.t.Helper()
	tally := c.Outcomes()
	if tally["200"] < 100 {
		h.t.Errorf("%d served: no load", tally["200"])
	}
	for k, n := range tally {
		if !strings.Contains(" 200 "+strings.Join(what, " ")+" ", " "+k+" ") {
			h.t.Errorf("%d requests ended with %s", n, k)
		}
	}
	if err := h.Check(); err != nil {
		h.t.Error(err)
	}
	return tally
}

// Upgrades under load, one after the other, with a node taken out at one version and called back at a later one:
// nothing is lost or refused, nothing reaches the node meanwhile, though discovery says that it runs.
func TestUpgrades(t *testing.T) {
	h := newHost(t)
	now := h.ready(h.begin())
	if answer := now.CallAdmin("maint-on nobody"); !strings.HasPrefix(answer, "400") {
		t.Errorf("an id that nobody has: %q", answer)
	}
	const upgrades = 3
	c := h.StartClients(12)
	for i := range upgrades {
		time.Sleep(300 * time.Millisecond)
		h.ban(now, i, true)
		next := h.ready(h.begin())
		h.ban(next, i+1, true) // while both run; those that were never out serve what the cold ones may not
		time.Sleep(ruleSlack + 200*time.Millisecond)
		h.ban(now, i+1, false)
		h.end(now)
		time.Sleep(300 * time.Millisecond)
		h.ban(next, i, false)
		now = next
	}
	c.Stop()
	h.end(now)
	h.only(c)
	if unsure, unheard := c.Unanswered(); unheard > 2*upgrades || unsure > unheard {
		t.Errorf("%d connections ended under a request, %d of them unheard, in %d upgrades", unsure, unheard, upgrades)
	}
}

// A new process that is killed at any step, or stands still, leaves the old one serving as if nothing had been. One that
// has said yes serves on when the old one stands still or is killed, with all that is out, and one that has not comes up
// all the same; what the killed ones had under way is lost, no more.
func TestKilledInUpgrades(t *testing.T) {
	h := newHost(t)
	now := h.ready(h.begin())
	c := h.StartClients(8)
	h.ban(now, 0, true)
	for _, after := range []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond, 60 * time.Millisecond} {
		next := h.begin()
		time.Sleep(after)
		h.kill(next)
	}
	hung := h.begin()
	hung.Process.Signal(syscall.SIGSTOP) // before it accepts anything
	time.Sleep(300 * time.Millisecond)
	h.kill(hung)
	if !now.Serves() {
		t.Error("the old one does not serve")
	}
	h.ban(now, 1, true)
	next := h.ready(h.begin())
	now.Process.Signal(syscall.SIGSTOP) // the old one stands still, and with it the clients that it holds
	h.ban(next, 2, true)
	time.Sleep(300 * time.Millisecond)
	now.Process.Signal(syscall.SIGCONT)
	h.ready(now)
	time.Sleep(300 * time.Millisecond)
	h.kill(now)
	time.Sleep(ruleSlack)
	last := h.begin()
	h.kill(next) // before the yes of the one that is to take over
	h.ready(last)
	time.Sleep(300 * time.Millisecond)
	for i := range 3 {
		h.ban(last, i, false)
	}
	c.Stop()
	h.end(last)
	if lost := h.only(c, "lost")["lost"]; lost > 16 {
		t.Errorf("%d requests lost with two processes that held 8 clients at most", lost)
	}
}

// An upgrade behind broken links: discovery hears and says nothing, a node's answers do not arrive, another's connections
// are reset again and again, a third one is late. No rule is broken meanwhile, the new version begins with the list that it
// was left, and all is served again once the links are whole.
func TestUpgradeBehindBrokenLinks(t *testing.T) {
	h := newHost(t)
	now := h.ready(h.begin())
	eventually(t, "the list is kept", func() bool { return strings.Contains(h.states(), `"f5"`) })
	c := h.StartClients(8)
	time.Sleep(500 * time.Millisecond)
	h.Discovery.Cut(faultinjection.ToServer, true)
	h.Discovery.Cut(faultinjection.ToClient, true)
	h.Replicas[0].Link.Cut(faultinjection.ToClient, true)
	h.Replicas[1].Link.Delay(30 * time.Millisecond)
	h.ban(now, 3, true)
	next := h.ready(h.begin())
	for range 10 {
		h.Replicas[2].Link.Reset()
		time.Sleep(50 * time.Millisecond)
	}
	h.end(now)
	time.Sleep(ruleSlack)
	h.Discovery.Cut(faultinjection.ToServer, false)
	h.Discovery.Cut(faultinjection.ToClient, false)
	h.Replicas[0].Link.Cut(faultinjection.ToClient, false)
	h.Replicas[1].Link.Delay(0)
	h.ban(next, 3, false)
	time.Sleep(300 * time.Millisecond)
	c.Stop()
	h.only(c, "500", "429") // reports lost with a reset, and what a silent node kept past its time
	healed := h.StartClients(4)
	time.Sleep(3 * time.Second)
	before := healed.Outcomes()
	time.Sleep(time.Second)
	healed.Stop()
	h.end(next)
	after := healed.Outcomes()
	if after["200"]-before["200"] < 20 || after["500"]+after["429"]+after["lost"] > before["500"]+before["429"]+before["lost"] {
		t.Errorf("after the links are whole: %v, then %v", before, after)
	}
}

// A process with a list is ready though discovery says nothing, whether the list came with the configuration or
// was left by another process.
func TestReadyWithAList(t *testing.T) {
	for range 4 { // it was a race once
		h := newHost(t)
		first := h.ready(h.begin()) // without a list it waits for one
		if n := h.ListsServed.Load(); n < 1 {
			t.Fatalf("ready after %d answers", n)
		}
		eventually(t, "the list is kept", func() bool { return strings.Contains(h.states(), `"f5"`) })
		h.Discovery.Cut(faultinjection.ToServer, true)
		h.Discovery.Cut(faultinjection.ToClient, true)
		next := h.ready(h.begin())
		h.kill(first)
		h.kill(next)
	}
}

// states is what the processes' files hold.
func (h *host) states() (text string) {
	names, _ := filepath.Glob(filepath.Join(h.Dir, stateFolder, "*.state"))
	for _, name := range names {
		data, _ := os.ReadFile(name)
		text += string(data)
	}
	return text
}

// A process without the socket that it is to have, or with a door that is taken, says so and ends.
func TestBadHandOver(t *testing.T) {
	h := newHost(t)
	for _, tc := range []struct{ set, want string }{
		{"PROXY_FD=x", `PROXY_FD "x" is no descriptor`},
		{"PROXY_FD=3", "no listening socket"},
		{"PROXY_FD=77", "bad file descriptor"},
		{"PROXY_OPERATOR=" + h.ClientListener.Addr().String(), "operators' door"},
		{"PROXY_OPERATOR=nowhere", "operator address"},
	} {
		p := h.begin(tc.set)
		if err := <-p.Exited; err == nil || !strings.Contains(p.Log(), tc.want) || strings.Contains(p.Log(), "panic") {
			t.Errorf("%s: %v %s", tc.set, err, p.Log())
		}
	}
	var exit *exec.ExitError
	if p := h.begin("PROXY_FD=x"); !errors.As(<-p.Exited, &exit) || exit.ExitCode() != 2 {
		t.Errorf("status %v, want 2", exit)
	}
}
