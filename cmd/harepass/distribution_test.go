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

// relays are two relays of one region that distribute the versions of one authority.
type relays struct {
	t                   *testing.T
	instances, settings *relay.Resource
	addresses           []string
	stops               []func() // one for each relay
}

// newRelays starts both relays.
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

// publish publishes an entry, or its removal if object is empty.
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

// relayedProcess is a process that takes endpoints and settings from relays. Nothing listens at its discovery address.
type relayedProcess struct {
	*program
	t                     *testing.T
	address, adminAddress string
}

// startRelayedProcess starts a process that keeps its files and its stored state in dir.
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

// waitForLine waits until the log contains a text.
func (p *relayedProcess) waitForLine(text string) {
	p.t.Helper()
	eventually(p.t, text, func() bool { return p.logged(text) })
}

// ready reports whether the process reports itself ready.
func (p *relayedProcess) ready() bool { return isReady(p.address) }

// checkStatuses compares the statuses of queries of the old class, route-lookup, and the new class, lift-status, with
// those wanted.
func (p *relayedProcess) checkStatuses(when string, wantOld, wantNew int) {
	p.t.Helper()
	old, renamed := queryClass(p.t, p.address, "route-lookup", 0), queryClass(p.t, p.address, "lift-status", 0)
	if old != wantOld || renamed != wantNew {
		p.t.Errorf("%s: statuses of old and new class %d and %d, want %d and %d", when, old, renamed, wantOld, wantNew)
	}
}

// callAdmin makes a call to the admin endpoint and returns the answer.
func (p *relayedProcess) callAdmin(line string) string {
	return (&faultinjection.Process{AdminAddress: p.adminAddress}).CallAdmin(line)
}

// A coordinator takes its endpoints and settings from relays. It is ready once the list is complete. After the first
// relay ends, it gets a drain and new settings from the second one. Invalid settings are rejected completely, in one
// log line, and a reload of the file does not bring back the file's settings. Without relays, the coordinator continues
// to serve with its local copies.
func TestRelaysGiveOutEndpointsAndSettings(t *testing.T) {
	first, second := &fake.Replicas{}, &fake.Replicas{}
	at := []net.Listener{listen(t), listen(t)}
	go first.ServeFrames(at[0])
	go second.ServeFrames(at[1])
	settings := withQuota(exampleSettings(t), "5000")
	r := newRelays(t)
	p := startRelayedProcess(t, r, settings, t.TempDir())
	eventually(t, "the process listens", func() bool { return p.logged(logmsg.ListenerOpened) })
	if p.ready() {
		t.Error("the process is ready without a list")
	}
	r.publishEndpoint("f0", "in_service", at[0])
	r.publishEndpoint("f1", "in_service", at[1])
	eventually(t, "the process is ready", p.ready)
	p.waitForLine(logmsg.EndpointListInForce + ` version=7/`)
	p.waitForLine(logmsg.VersionInForce + ` resource=instances epoch=7 index=2`)
	if status := queryClass(t, p.address, "route-lookup", 0); status != 200 {
		t.Errorf("query with the complete list: status %d, want 200", status)
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
			t.Errorf("query after the drain: status %d, want 200", status)
		}
	}
	if n := len(first.Received()) - before; n > 0 {
		t.Errorf("the draining replica received %d parts, want 0", n)
	}
	r.publishSettings(settings)
	p.waitForLine(logmsg.SettingsInForce + ` version=7/3`)

	r.stops[1]()
	p.waitForLine(logmsg.SourceLeft + ` resource=instances source=` + r.addresses[1])
	if status := queryClass(t, p.address, "route-lookup", 0); status != 200 || !p.ready() {
		t.Errorf("without relays: query status %d, want 200 and a ready process", status)
	}
	p.Process.Signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Errorf("exit after SIGTERM: %v", err)
	}
}

// changeSettings publishes settings that rename a class, then invalid settings, and finally reloads the file. Only the
// first settings take effect.
func (p *relayedProcess) changeSettings(r *relays, settings []byte) {
	r.publishSettings(bytes.Replace(settings, []byte(`"name": "route-lookup"`), []byte(`"name": "lift-status"`), 1))
	p.waitForLine(logmsg.SettingsInForce + ` version=7/1`)
	p.checkStatuses("after new settings", 400, 200)
	r.publishSettings(bytes.Replace(settings, []byte(`"most_tries": 4`), []byte(`"most_tries": 0`), 1))
	p.waitForLine(logmsg.SettingsRejected + ` version=7/2 reason=`)
	p.checkStatuses("after invalid settings", 400, 200)
	if n := strings.Count(p.log.String(), logmsg.SettingsRejected); n != 1 {
		p.t.Errorf("invalid settings are rejected in %d log lines, want 1", n)
	}
	p.Process.Signal(syscall.SIGHUP)
	p.waitForLine(logmsg.ConfigurationReloaded)
	p.waitForLine(logmsg.FileSettingsIgnored)
	p.checkStatuses("after a reload", 400, 200)
}

// A process is killed, and a replica is removed before the next process starts. That process starts with the stored
// list, and drops endpoints that are no longer listed with the last slice of its first snapshot.
func TestRelayedListIsTakenOver(t *testing.T) {
	fleet, at, dir := &fake.Replicas{}, listen(t), t.TempDir()
	go fleet.ServeFrames(at)
	r := newRelays(t)
	r.publishEndpoint("f0", "in_service", at)
	r.publishEndpoint("f1", "in_service", at)
	first := startRelayedProcess(t, r, exampleSettings(t), dir)
	first.waitForLine(logmsg.EndpointListInForce + ` version=7/2`)
	eventually(t, "the state file has both replicas", func() bool {
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
	eventually(t, "f1 is not listed", func() bool { return strings.HasPrefix(second.callAdmin("maint-on f1"), "400") })
	if answer := second.callAdmin("maint-on f0"); !strings.HasPrefix(answer, "200") {
		t.Errorf("maint-on f0: answer %q, want 200", answer)
	}
	if answer := second.callAdmin("maint-off f0"); !strings.HasPrefix(answer, "200") {
		t.Errorf("maint-off f0: answer %q, want 200", answer)
	}
}
