package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"harepass/internal/decide/versionlog"
	"harepass/internal/logmsg"
	"harepass/internal/relay"
	"harepass/internal/test/fake"
	"harepass/internal/test/faultinjection"
)

// relays are two of a region, with one authority's versions.
type relays struct {
	t                   *testing.T
	instances, settings *relay.Resource
	addresses           []string
	stops               []func()
}

func newRelays(t *testing.T) *relays {
	budget := relay.NewSnapshotBudget(1 << 20)
	r := &relays{t: t, instances: relay.NewResource(versionlog.New(7, 100), budget), settings: relay.NewResource(versionlog.New(7, 100), budget)}
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

func (r *relays) publish(to *relay.Resource, name, object string) {
	r.t.Helper()
	if _, err := to.Publish([]versionlog.Change{{Name: name, Removed: object == "", Object: []byte(object)}}); err != nil {
		r.t.Fatal(err)
	}
}

// node publishes a node's entry.
func (r *relays) node(name, status string, l net.Listener) {
	r.publish(r.instances, name, fmt.Sprintf(`{"name":%q,"address":%q,"zone":"z","type":"m","group":0,"status":%q,"weight":1,"since_ms":0}`, name, l.Addr(), status))
}

// set publishes settings.
func (r *relays) set(settings []byte) {
	r.publish(r.settings, "settings", `{"name":"settings","status":"in_service","settings":`+string(settings)+`}`)
}

// distributed is a process that takes all from relays; its discovery does not exist.
type distributed struct {
	*exec.Cmd
	log     *faultinjection.Log
	native  string
	door    string
	logged  func(line string)
	ready   func() bool
	classes func(class string) int // the status of a query of a class
}

// startDistributed starts a process with a folder, where it also keeps what the next process finds.
func startDistributed(t *testing.T, r *relays, settings []byte, dir string) *distributed {
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	p := &distributed{log: &faultinjection.Log{}, native: reserve(t), door: reserve(t)}
	config, err := json.Marshal(map[string]any{"name": "n1", "listen": p.native, "operator": p.door, "discovery": reserve(t), "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"index": 0, "snapshot": true, "endpoints": []any{}},
		"settings": json.RawMessage(settings)})
	if err != nil {
		t.Fatal(err)
	}
	file := fmt.Sprintf("zone: r1-a\nregion: r1\nheartbeat: 200ms\nsources:\n- {address: %q, zone: r1-a, region: r1}\n- {address: %q, zone: r1-b, region: r1}\n", r.addresses[0], r.addresses[1])
	p.Cmd = exec.Command(os.Args[0], "serve", "-distribution", write("distribution.yaml", file))
	p.Env = append(os.Environ(), "HAREPASS_TEST_RUN=1", "TMPDIR="+dir, "PROXY_CONFIG="+write("config.json", string(config)))
	p.Stderr = p.log
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.Process.Kill()
		p.Wait()
		if t.Failed() {
			t.Logf("log:\n%s", p.log)
		}
	})
	p.logged = func(line string) {
		t.Helper()
		eventually(t, line, func() bool { return strings.Contains(p.log.String(), line) })
	}
	p.ready = func() bool {
		res, err := http.Get("http://" + p.native + "/health/ready")
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == 200
	}
	p.classes = func(class string) int { return askClass(t, p.native, class, 0) }
	return p
}

// A coordinator takes its nodes and settings from relays: it is ready once the list is whole, a drain and new settings bind
// by the next relay where the first is gone, bad settings are refused whole in one line, a file that is read again does not
// take settings back, and with no relay left it serves on by what it has.
func TestDistribution(t *testing.T) {
	first, second := &fake.Replicas{}, &fake.Replicas{}
	at := []net.Listener{listen(t), listen(t)}
	go first.ServeFrames(at[0])
	go second.ServeFrames(at[1])
	settings, err := os.ReadFile("../../deploy/settings.example.json")
	if err != nil {
		t.Fatal(err)
	}
	settings = regexp.MustCompile(`"quota_per_s": [0-9.]+`).ReplaceAll(settings, []byte(`"quota_per_s": 5000`))
	r := newRelays(t)
	p := startDistributed(t, r, settings, t.TempDir())
	eventually(t, "a listening process", func() bool { return strings.Contains(p.log.String(), "serving") })
	if p.ready() {
		t.Error("ready without a list")
	}
	r.node("f0", "in_service", at[0])
	r.node("f1", "in_service", at[1])
	eventually(t, "ready", p.ready)
	p.logged(`list in force version=7/`)
	p.logged(`version in force resource=instances epoch=7 index=2`)
	if status := p.classes("route-lookup"); status != 200 {
		t.Errorf("a query: %d", status)
	}

	renamed := bytes.Replace(settings, []byte(`"name": "route-lookup"`), []byte(`"name": "lift-status"`), 1)
	r.set(renamed)
	p.logged(`settings in force version=7/1`)
	if a, b := p.classes("route-lookup"), p.classes("lift-status"); a != 400 || b != 200 {
		t.Errorf("with new settings: %d and %d, want 400 and 200", a, b)
	}
	r.set(bytes.Replace(settings, []byte(`"most_tries": 4`), []byte(`"most_tries": 0`), 1))
	p.logged(`settings refused version=7/2 reason=`)
	if a, b := p.classes("route-lookup"), p.classes("lift-status"); a != 400 || b != 200 || strings.Count(p.log.String(), "settings refused") != 1 {
		t.Errorf("after bad settings: %d and %d, want 400 and 200", a, b)
	}
	p.Process.Signal(syscall.SIGHUP)
	p.logged("configuration reloaded")
	p.logged("the file's settings are passed over")
	if a, b := p.classes("route-lookup"), p.classes("lift-status"); a != 400 || b != 200 {
		t.Errorf("after a reload: %d and %d, want 400 and 200", a, b)
	}

	r.stops[0]()
	p.logged(logmsg.SourceFollowed + ` resource=instances source=` + r.addresses[1])
	p.logged(logmsg.SourceFollowed + ` resource=settings source=` + r.addresses[1])
	r.node("f0", "terminating", at[0])
	p.logged(`version in force resource=instances epoch=7 index=3`)
	before := len(first.Received())
	for range 5 {
		if status := p.classes("lift-status"); status != 200 {
			t.Errorf("after the drain: %d", status)
		}
	}
	if n := len(first.Received()) - before; n > 0 {
		t.Errorf("the draining node got %d parts", n)
	}
	r.set(settings)
	p.logged(`settings in force version=7/3`)

	r.stops[1]()
	p.logged(logmsg.SourceLeft + ` resource=instances source=` + r.addresses[1])
	if status := p.classes("route-lookup"); status != 200 || !p.ready() {
		t.Errorf("without relays: %d", status)
	}
	p.Process.Signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// A process that takes over from a killed one begins with its list, and drops the names that are listed no more with the last
// slice of its first snapshot.
func TestDistributedListIsTakenOver(t *testing.T) {
	settings, err := os.ReadFile("../../deploy/settings.example.json")
	if err != nil {
		t.Fatal(err)
	}
	fleet, at, dir := &fake.Replicas{}, listen(t), t.TempDir()
	go fleet.ServeFrames(at)
	r := newRelays(t)
	r.node("f0", "in_service", at)
	r.node("f1", "in_service", at)
	door := func(p *distributed, line string) string {
		return (&faultinjection.Process{AdminAddress: p.door}).CallAdmin(line)
	}
	first := startDistributed(t, r, settings, dir)
	first.logged("list in force version=7/2")
	eventually(t, "a file with both nodes", func() bool {
		files, _ := filepath.Glob(filepath.Join(dir, stateFolder, "*.state"))
		for _, path := range files {
			if data, _ := os.ReadFile(path); bytes.Contains(data, []byte(`"name":"f0"`)) && bytes.Contains(data, []byte(`"name":"f1"`)) {
				return true
			}
		}
		return false
	})
	first.Process.Kill()
	first.Wait()
	r.publish(r.instances, "f1", "")
	second := startDistributed(t, r, settings, dir)
	second.logged("list taken over nodes=2")
	second.logged("list in force version=7/3")
	eventually(t, "f1 gone", func() bool { return strings.HasPrefix(door(second, "maint-on f1"), "400") })
	if answer := door(second, "maint-on f0"); !strings.HasPrefix(answer, "200") {
		t.Errorf("f0: %q", answer)
	}
	if answer := door(second, "maint-off f0"); !strings.HasPrefix(answer, "200") {
		t.Errorf("f0: %q", answer)
	}
}

// A file with a fault is named in one line, by check and by serve; a good one is summed up, and so is the example.
func TestDistributionFile(t *testing.T) {
	t.Setenv("PROXY_CONFIG", "")
	dir := t.TempDir()
	for what, tc := range map[string]struct{ text, want string }{
		"the least":      {"sources: [{address: 'h:1'}]", ""},
		"no sources":     {"zone: a", "no sources"},
		"a bad address":  {"sources: [{address: h}]", "missing port"},
		"a source twice": {"sources: [{address: 'h:1'}, {address: 'h:1'}]", "source h:1 stands twice"},
		"an unknown key": {"sources: [{address: 'h:1'}]\nsorces: 1", "field sorces not found"},
		"resources":      {"sources: [{address: 'h:1'}]\nresources: [lists]", `resource "lists" is neither nodes nor settings`},
		"none":           {"sources: [{address: 'h:1'}]\nresources: []", "no resources"},
		"a heartbeat":    {"sources: [{address: 'h:1'}]\nheartbeat: 1ms", "heartbeat 1ms has to be from"},
		"an allowance":   {"sources: [{address: 'h:1'}]\nallowance: 1h", "allowance 1h0m0s has to be from"},
	} {
		path := filepath.Join(dir, "d.yaml")
		if err := os.WriteFile(path, []byte(tc.text), 0o600); err != nil {
			t.Fatal(err)
		}
		f, err := loadDistribution(path)
		switch {
		case tc.want == "" && (err != nil || !f.takes(resourceNodes) || !f.takes(resourceSettings)):
			t.Errorf("%s: %+v, %v", what, f, err)
		case tc.want != "" && (err == nil || !strings.Contains(err.Error(), tc.want) || strings.Contains(err.Error(), "\n")):
			t.Errorf("%s: %v, want %s", what, err, tc.want)
		}
	}
	if f, err := loadDistribution("../../deploy/distribution.example.yaml"); err != nil || len(f.Sources) < 3 {
		t.Errorf("the example: %+v, %v", f, err)
	}
	if f, err := loadDistribution(defaultDistribution); f != nil || err != nil || f.takes(resourceNodes) {
		t.Errorf("no file: %+v, %v", f, err)
	}
}

// Settings of the whole fleet leave a coordinator its number and zone.
func TestOwnSettings(t *testing.T) {
	for _, tc := range []struct{ fleet, own, want string }{
		{`{"balancers":3,"me":0}`, `{"balancers":2,"me":7,"zone":"a"}`, `{"balancers":3,"me":7,"zone":"a"}`},
		{`{"balancers":3,"me":0}`, `{"balancers":2}`, `{"balancers":3}`},
	} {
		if got, err := withOwn(json.RawMessage(tc.fleet), json.RawMessage(tc.own)); err != nil || string(got) != tc.want {
			t.Errorf("%s of %s: %s, %v", tc.fleet, tc.own, got, err)
		}
	}
	for _, bad := range []string{`null`, `[]`, `7`, `{`} {
		if got, err := withOwn(json.RawMessage(bad), json.RawMessage(`{}`)); err == nil {
			t.Errorf("%s passes: %s", bad, got)
		}
	}
}
