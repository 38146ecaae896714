package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"

	"harepass/internal/decide/versionlog"
	"harepass/internal/logmsg"
	"harepass/internal/relay"
	"harepass/internal/test/fake"
	"harepass/internal/test/faultinjection"
)

// relays are two of a region that give out one authority's versions.
type relays struct {
	t                   *testing.T
	instances, settings *relay.Resource
	addresses           []string
	stops               []func() // one for each relay
}

func newRelays(t *testing.T) *relays {
	budget := relay.NewSnapshotBudget(1 << 20)
	r := &relays{t: t, instances: relay.NewResource(versionlog.New(7, 100), budget),
		settings: relay.NewResource(versionlog.New(7, 100), budget)}
	for range 2 {
		l := listen(t)
		s := relay.NewServer(r.instances, r.settings, 16)
		go s.Serve(l)
		r.addresses = append(r.addresses, l.Addr().String())
		r.stops = append(r.stops, func() { l.Close(); s.Shutdown() })
	}
	t.Cleanup(func() {
		for _, stop := range r.stops {
			stop()
		}
	})
	return r
}

// publish publishes an entry, or its removal where object is empty.
func (r *relays) publish(to *relay.Resource, name, object string) {
	r.t.Helper()
	change := versionlog.Change{Name: name, Removed: object == "", Object: []byte(object)}
	if _, err := to.Publish([]versionlog.Change{change}); err != nil {
		r.t.Fatal(err)
	}
}

// publishEndpoint publishes a replica's entry.
func (r *relays) publishEndpoint(name, status string, l net.Listener) {
	r.publish(r.instances, name, fmt.Sprintf(`{"name":%q,"address":%q,"zone":"z","type":"m","group":0,"status":%q,`+
		`"weight":1,"since_ms":0}`, name, l.Addr(), status))
}

// publishSettings publishes a version of the settings.
func (r *relays) publishSettings(settings []byte) {
	r.publish(r.settings, "settings", `{"name":"settings","status":"in_service","settings":`+string(settings)+`}`)
}

// relayedProcess is a process that takes endpoints and settings from relays; its discovery does not exist.
type relayedProcess struct {
	*program
	t                     *testing.T
	address, adminAddress string
}

// startRelayedProcess starts a process with a folder for its files and its stored state.
func startRelayedProcess(t *testing.T, r *relays, settings []byte, dir string) *relayedProcess {
	write := fileWriter(t, dir)
	p := &relayedProcess{t: t, address: ownAddress(t), adminAddress: ownAddress(t)}
	file := platformFile(t, map[string]any{"listen": p.address, "operator": p.adminAddress,
		"discovery": ownAddress(t), "settings": json.RawMessage(settings)})
	distribution := fmt.Sprintf("zone: r1-a\nregion: r1\nheartbeat: 200ms\nsources:\n"+
		"- {address: %q, zone: r1-a, region: r1}\n- {address: %q, zone: r1-b, region: r1}\n", r.addresses[0], r.addresses[1])
	p.program = startProgram(t, []string{"TMPDIR=" + dir, "PROXY_CONFIG=" + write("config.json", file)},
		"serve", "-distribution", write("distribution.yaml", distribution))
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("log:\n%s", p.log)
		}
	})
	return p
}

// waitForLine waits for a text in the log.
func (p *relayedProcess) waitForLine(text string) {
	p.t.Helper()
	eventually(p.t, text, func() bool { return p.logged(text) })
}

// ready reports whether the process says that it is ready.
func (p *relayedProcess) ready() bool { return isReady(p.address) }

// checkStatuses holds the statuses of queries of the old class, route-lookup, and the new one, lift-status, against
// those wanted.
func (p *relayedProcess) checkStatuses(when string, wantOld, wantNew int) {
	p.t.Helper()
	old, renamed := queryClass(p.t, p.address, "route-lookup", 0), queryClass(p.t, p.address, "lift-status", 0)
	if old != wantOld || renamed != wantNew {
		p.t.Errorf("%s: %d and %d, want %d and %d", when, old, renamed, wantOld, wantNew)
	}
}

// callAdmin makes an operator's call and returns the answer.
func (p *relayedProcess) callAdmin(line string) string {
	return (&faultinjection.Process{AdminAddress: p.adminAddress}).CallAdmin(line)
}

// A coordinator takes its endpoints and settings from relays. It is ready once the list is complete. Where the first
// relay ends, the next one brings a drain and new settings. Bad settings are rejected completely, in one log line; a
// file that is read again does not take settings back. With no relay left the coordinator serves on by its own copies.
func TestRelaysGiveOutEndpointsAndSettings(t *testing.T) {
	first, second := &fake.Replicas{}, &fake.Replicas{}
	at := []net.Listener{listen(t), listen(t)}
	go first.ServeFrames(at[0])
	go second.ServeFrames(at[1])
	settings := withQuota(exampleSettings(t), "5000")
	r := newRelays(t)
	p := startRelayedProcess(t, r, settings, t.TempDir())
	eventually(t, "a listening process", func() bool { return p.logged(logmsg.ListenerOpened) })
	if p.ready() {
		t.Error("ready without a list")
	}
	r.publishEndpoint("f0", "in_service", at[0])
	r.publishEndpoint("f1", "in_service", at[1])
	eventually(t, "ready", p.ready)
	p.waitForLine(logmsg.EndpointListInForce + ` version=7/`)
	p.waitForLine(logmsg.VersionInForce + ` resource=instances epoch=7 index=2`)
	if status := queryClass(t, p.address, "route-lookup", 0); status != 200 {
		t.Errorf("a query: %d", status)
	}
	p.changeSettings(r, settings)

	r.stops[0]()
	p.waitForLine(logmsg.SourceFollowed + ` resource=instances source=` + r.addresses[1])
	p.waitForLine(logmsg.SourceFollowed + ` resource=settings source=` + r.addresses[1])
	r.publishEndpoint("f0", "terminating", at[0])
	p.waitForLine(logmsg.VersionInForce + ` resource=instances epoch=7 index=3`)
	before := len(first.Received())
	for range 5 {
		if status := queryClass(t, p.address, "lift-status", 0); status != 200 {
			t.Errorf("after the drain: %d", status)
		}
	}
	if n := len(first.Received()) - before; n > 0 {
		t.Errorf("the draining replica got %d parts", n)
	}
	r.publishSettings(settings)
	p.waitForLine(logmsg.SettingsInForce + ` version=7/3`)

	r.stops[1]()
	p.waitForLine(logmsg.SourceLeft + ` resource=instances source=` + r.addresses[1])
	if status := queryClass(t, p.address, "route-lookup", 0); status != 200 || !p.ready() {
		t.Errorf("without relays: %d", status)
	}
	p.Process.Signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// changeSettings publishes settings that rename a class, then bad ones, and has the file read again. Only the first
// change something.
func (p *relayedProcess) changeSettings(r *relays, settings []byte) {
	r.publishSettings(bytes.Replace(settings, []byte(`"name": "route-lookup"`), []byte(`"name": "lift-status"`), 1))
	p.waitForLine(logmsg.SettingsInForce + ` version=7/1`)
	p.checkStatuses("with new settings", 400, 200)
	r.publishSettings(bytes.Replace(settings, []byte(`"most_tries": 4`), []byte(`"most_tries": 0`), 1))
	p.waitForLine(logmsg.SettingsRejected + ` version=7/2 reason=`)
	p.checkStatuses("after bad settings", 400, 200)
	if n := strings.Count(p.log.String(), logmsg.SettingsRejected); n != 1 {
		p.t.Errorf("bad settings are rejected in %d lines, want 1", n)
	}
	p.Process.Signal(syscall.SIGHUP)
	p.waitForLine(logmsg.ConfigurationReloaded)
	p.waitForLine(logmsg.FileSettingsIgnored)
	p.checkStatuses("after a reload", 400, 200)
}

// A process is killed, and a replica is removed before the next one starts. The next one begins with the list that was
// stored, and drops the names that are listed no more with the last slice of its first snapshot.
func TestRelayedListIsTakenOver(t *testing.T) {
	fleet, at, dir := &fake.Replicas{}, listen(t), t.TempDir()
	go fleet.ServeFrames(at)
	r := newRelays(t)
	r.publishEndpoint("f0", "in_service", at)
	r.publishEndpoint("f1", "in_service", at)
	first := startRelayedProcess(t, r, exampleSettings(t), dir)
	first.waitForLine(logmsg.EndpointListInForce + ` version=7/2`)
	eventually(t, "a file with both replicas", func() bool {
		for _, file := range storedState(dir) {
			if strings.Contains(file, `"name":"f0"`) && strings.Contains(file, `"name":"f1"`) {
				return true
			}
		}
		return false
	})
	first.Process.Kill()
	first.Wait()
	r.publish(r.instances, "f1", "")
	second := startRelayedProcess(t, r, exampleSettings(t), dir)
	second.waitForLine(logmsg.EndpointListTakenOver + ` endpoints=2`)
	second.waitForLine(logmsg.EndpointListInForce + ` version=7/3`)
	eventually(t, "f1 is listed no more", func() bool { return strings.HasPrefix(second.callAdmin("maint-on f1"), "400") })
	if answer := second.callAdmin("maint-on f0"); !strings.HasPrefix(answer, "200") {
		t.Errorf("f0: %q", answer)
	}
	if answer := second.callAdmin("maint-off f0"); !strings.HasPrefix(answer, "200") {
		t.Errorf("f0: %q", answer)
	}
}
