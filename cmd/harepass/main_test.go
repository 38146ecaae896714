package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/textproto"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/http1"
	"harepass/internal/platform"
	"harepass/internal/test/fake"
	"harepass/internal/test/faultinjection"
	"harepass/internal/test/scaletest"
)

// TestMain lets the test binary be the program, for tests on real sockets and signals, or a host of hollow coordinators.
func TestMain(m *testing.M) {
	if os.Getenv("HAREPASS_TEST_RUN") == "1" {
		if len(os.Args) > 1 && os.Args[1] == scaletest.HollowCommand {
			if err := scaletest.RunHost(context.Background(), os.Stdin, os.Stdout); err != nil {
				log.Fatal(err)
			}
			return
		}
		os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func TestUsage(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	example := "../../deploy/opensearch.example.yaml"
	data, err := os.ReadFile("../../deploy/settings.example.json")
	if err != nil {
		t.Fatal(err)
	}
	settings := string(data)
	for _, tc := range []struct {
		args   []string
		config string // PROXY_CONFIG
		status int
		want   string
	}{
		{nil, "", 2, "usage: "},
		{[]string{"dance"}, "", 2, "usage: "},
		{[]string{"help"}, "", 0, "usage: "},
		{[]string{"serve", "-h"}, "", 0, "-opensearch"},
		{[]string{"version"}, "", 0, "harepass " + version},
		{[]string{"version", "now"}, "", 2, `version takes no arguments, got "now"`},
		{[]string{"serve", "-port", "1"}, "", 2, "flag provided but not defined: -port"},
		{[]string{"serve"}, "", 2, "nothing to serve"},
		{[]string{"serve", "-opensearch", "nowhere.yaml"}, "", 2, "nowhere.yaml: no such file"},
		{[]string{"serve"}, filepath.Join(dir, "none.json"), 2, "no such file"},
		{[]string{"serve"}, file("bad.json", "{"), 2, "bad.json: unexpected end"},
		{[]string{"serve"}, file("bare.json", `{"listen":"x:1"}`), 2, "no discovery address"},
		{[]string{"serve"}, file("port.json", `{"listen":"x:1","discovery":"y"}`), 2, "discovery address: address y: missing port"},
		{[]string{"serve"}, file("seed.json", `{"listen":"x:1","discovery":"y:1","seed":"zz"}`), 2, `seed "zz"`},
		{[]string{"serve"}, file("sets.json", `{"listen":"x:1","discovery":"y:1","seed":"1f","settings":{}}`), 2, "family_info.positions is missing"},
		{[]string{"serve"}, file("limits.json", `{"listen":"x:1","discovery":"y:1","seed":"1f","limits":{"sockets":9,"memory_mb":64},"settings":`+settings+`}`), 2, "too low"},
		{[]string{"check", "-opensearch", example}, "", 0, "ok\n"},
		{[]string{"check", "-opensearch", file("inv.yaml", "listen: x\nsettings: "+abs(t, "../../deploy/settings.example.json")+
			"\ninventory: bad.csv\nindices: {a: {class: route-lookup}}\n")}, "", 2, "bad.csv:2: host n"},
	} {
		file("bad.csv", "name,port,cell\nn,1,77\n")
		t.Setenv("PROXY_CONFIG", tc.config)
		var out, errs bytes.Buffer
		status := run(tc.args, &out, &errs)
		text := out.String() + errs.String()
		if status != tc.status || !strings.Contains(text, tc.want) || status == 2 && strings.Count(errs.String(), "\n") != 1 {
			t.Errorf("%q: status %d, %q; want %d and %q", tc.args, status, text, tc.status, tc.want)
		}
	}
}

// Every reserve follows from the configured limits: there were days on which a fixed one left clients one
// connection.
func TestReserves(t *testing.T) {
	for _, tc := range []struct{ sockets, memory, clients, nodes int }{
		{256, 64, 168, 64},
		{1024, 192, 744, 256},
		{1024, 32, 256, 256},
	} {
		l := limits{Sockets: tc.sockets, MemoryMB: tc.memory}
		if l.clients() != tc.clients || l.nodes() != tc.nodes || l.clients()+l.nodes()+ownSockets > tc.sockets || l.clients() < tc.sockets/4 {
			t.Errorf("%+v: %d for clients, %d for nodes", l, l.clients(), l.nodes())
		}
	}
}

func abs(t *testing.T, path string) string {
	path, err := filepath.Abs(path)
	if err != nil {
		t.Fatal(err)
	}
	return path
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// reserve finds an address that the program can listen on.
func reserve(t *testing.T) string {
	l := listen(t)
	defer l.Close()
	return l.Addr().String()
}

// eventually waits for something that is only a matter of time.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	if err := faultinjection.WaitFor(what, ok); err != nil {
		t.Fatal(err)
	}
}

// The whole program on real loopback sockets, both fronts at once: frame nodes from discovery and API nodes
// from an inventory, a reload, a bad reload, and a SIGTERM that finds a query under way.
func TestServe(t *testing.T) {
	frames, api := &fake.Replicas{Script: slowAt(5)}, &fake.Replicas{Script: slowAt(5)}
	frameNode, apiNode, discovery := listen(t), listen(t), listen(t)
	go frames.ServeFrames(frameNode)
	go api.ServeAPI(apiNode)
	list := fmt.Sprintf(`{"index":1,"snapshot":true,"endpoints":[{"name":"f0","address":%q,"zone":"z","type":"m","group":0,"status":"in_service","weight":1,"since_ms":0}]}`, frameNode.Addr())
	go fake.ServeDiscovery(discovery, func() string { return list })

	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	settings, err := os.ReadFile("../../deploy/settings.example.json")
	if err != nil {
		t.Fatal(err)
	}
	native, search := reserve(t), reserve(t)
	_, port, _ := net.SplitHostPort(apiNode.Addr().String())
	write("nodes.csv", "name,address,port,cell,api\na0,127.0.0.1,"+port+",0,opensearch\n")
	conf := func(discovery net.Listener) string {
		data, _ := json.Marshal(map[string]any{"name": "n1", "listen": native, "discovery": discovery.Addr().String(), "seed": "8c1f30d27a5be964",
			"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
			"known":    map[string]any{"index": 0, "snapshot": true, "endpoints": []any{}},
			"settings": json.RawMessage(bytes.Replace(settings, []byte(`"push"`), []byte(`"ask"`), 1))})
		return string(data)
	}
	cmd := exec.Command(os.Args[0], "serve", "-opensearch",
		write("front.yaml", "listen: "+search+"\ninventory: nodes.csv\nindices:\n  trails: {class: route-lookup}\n  hazards: {class: hazard-report, reports: true}\n"))
	cmd.Env = append(os.Environ(), "HAREPASS_TEST_RUN=1", "PROXY_CONFIG="+write("config.json", conf(discovery)), "PROXY_LISTEN="+native,
		"PROXY_DISCOVERY="+discovery.Addr().String())
	log := &faultinjection.Log{}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()

	get := func(url string) int {
		res, err := http.Get(url)
		if err != nil {
			return 0
		}
		defer res.Body.Close()
		io.Copy(io.Discard, res.Body)
		return res.StatusCode
	}
	eventually(t, "ready", func() bool { return get("http://"+native+"/health/ready") == 200 })
	eventually(t, "discovery's list", func() bool { return ask(t, native, 0, 1) == 200 && len(frames.Received()) > 0 })
	if status, body := post(t, "http://"+search+"/trails/_search", `{"query":{"range":{"section":{"lt":5}}}}`); status != 200 || !strings.Contains(body, `"timed_out":false`) {
		t.Errorf("search: %d %s", status, body)
	}
	if status, body := post(t, "http://"+search+"/hazards/_doc", `{"section":2}`); status != 201 {
		t.Errorf("report: %d %s", status, body)
	}

	// A bad file keeps the list; a good one without the API node drains it.
	write("nodes.csv", "name,address,port,cell\na0,127.0.0.1,none,0\n")
	cmd.Process.Signal(syscall.SIGHUP)
	eventually(t, "a refused reload", func() bool { return strings.Contains(log.String(), "nodes.csv:2: host a0: port") })
	_, framePort, _ := net.SplitHostPort(frameNode.Addr().String())
	write("nodes.csv", "name,address,port,cell,api\nf1,127.0.0.1,"+framePort+",0,frame\n")
	cmd.Process.Signal(syscall.SIGHUP)
	eventually(t, "a reload", func() bool { return strings.Contains(log.String(), "inventory reloaded") })
	for range 3 { // queries that go out after the reload is known to be taken
		ask(t, native, 0)
	}
	before := len(api.Received())
	for range 5 {
		if status := ask(t, native, 0, 1, 2); status != 200 {
			t.Errorf("after the reload: %d", status)
		}
	}
	if n := len(api.Received()) - before; n > 0 {
		t.Errorf("a drained node was sent %d parts", n)
	}

	// A bad configuration changes nothing; a good one moves discovery to where it says, the variable notwithstanding,
	// and what the new list does not name gets nothing more, though its index is lower.
	write("config.json", "{")
	cmd.Process.Signal(syscall.SIGHUP)
	eventually(t, "a refused configuration", func() bool { return strings.Contains(log.String(), "config.json: unexpected end") })
	fresh, moved := &fake.Replicas{Script: slowAt(5)}, listen(t)
	freshNode := listen(t)
	go fresh.ServeFrames(freshNode)
	go fake.ServeDiscovery(moved, func() string {
		return strings.NewReplacer(`"index":1`, `"index":0`, "f0", "f2", frameNode.Addr().String(), freshNode.Addr().String()).Replace(list)
	})
	write("nodes.csv", "name,address,port,cell,api\n")
	write("config.json", conf(moved))
	cmd.Process.Signal(syscall.SIGHUP)
	eventually(t, "discovery's move", func() bool { return ask(t, native, 0) == 200 && len(fresh.Received()) > 0 })
	before = len(frames.Received())
	for range 5 {
		if status := ask(t, native, 0, 1, 2); status != 200 || len(frames.Received()) > before {
			t.Errorf("after the move: %d, %d parts to a node that is gone", status, len(frames.Received())-before)
		}
	}
	frames = fresh

	// What is under way at SIGTERM is answered, what comes right after it too, and readiness fails.
	slow := make(chan int)
	count := len(frames.Received())
	go func() { slow <- ask(t, native, 5) }()
	eventually(t, "a query under way", func() bool { return len(frames.Received()) > count })
	cmd.Process.Signal(syscall.SIGTERM)
	eventually(t, "draining", func() bool { return get("http://"+native+"/health/ready") == 503 })
	if status := ask(t, native, 0); status != 200 {
		t.Errorf("just after SIGTERM: %d", status)
	}
	if status := <-slow; status != 200 {
		t.Errorf("under way at SIGTERM: %d", status)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v\n%s", err, log)
	}
	if get("http://"+native+"/health/live") != 0 {
		t.Error("still listening")
	}
}

// While other coordinators may not be up yet, clients of one that drains go on using their connections: these are
// closed only with an answer given after the listener is closed, or when they have nothing open then.
func TestDrainKeepsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &program{setup: &setup{settings: scatter.Settings{Coordinators: 1, RingSize: 1, ReplicationFactor: 1, PartsPerCall: 1, MaxAttempts: 1,
			Classes: []scatter.Class{{Name: "c", LatencyObjective: time.Second, Deadline: time.Second, CompleteFraction: 1, MinFraction: 1}}}}, clock: core.SystemClock()}
		var err error
		p.owner, err = core.New(core.Config{Settings: p.settings, Clock: p.clock, Subscribe: func() {}, Limits: core.Limits{DrainTimeout: p.drainTime()}})
		if err != nil {
			t.Fatal(err)
		}
		go p.owner.Run()
		var memory fake.Network
		l := memory.Listen("c")
		s := &http1.Server{Handler: (&platform.Front{Coordinator: p.owner, Clock: p.clock}).Handle, Limits: http1.DefaultLimits}
		go s.Serve(l)
		p.servers, p.listens = []*http1.Server{s}, []net.Listener{l}
		dial := func() *http1.Client {
			return &http1.Client{Address: "c", Dial: memory.Dial, Limits: http1.DefaultLimits}
		}
		id := 0
		ask := func(c *http1.Client) string { // no node holds the shard: it is refused when its time is over
			id++
			a, _, err := c.Do(context.Background(), &http1.Message{Method: "POST", Target: "/api", Body: []byte(`{"slices":[{"slice":0,"mass":1}],"filter":""}`),
				Header: textproto.MIMEHeader{"X-Call-Id": {fmt.Sprint(id)}, "X-Call-Class": {"c"}, "X-Budget": {"50m"}}})
			if err != nil {
				return "none"
			}
			return fmt.Sprint(a.Status, " ", a.Close)
		}
		used, idle := dial(), dial()
		ask(used)
		ask(idle)
		began := time.Now()
		ended := make(chan struct{})
		go func() { p.drain(); close(ended) }()
		time.Sleep(time.Millisecond)
		got := []string{ask(used), ask(used), ask(dial())}
		time.Sleep(acceptAfterTerm - time.Since(began) + time.Millisecond)
		got = append(got, ask(used), ask(used), ask(dial()))
		<-ended
		got = append(got, ask(idle))
		if want := "[429 false 429 false 429 false 429 true none none none]"; fmt.Sprint(got) != want {
			t.Errorf("answers and whether they close: %v, want %s", got, want)
		}
		if took := time.Since(began); took != acceptAfterTerm+restAfterTerm {
			t.Errorf("it took %v", took)
		}
	})
}

// slowAt serves at once but for one shard.
func slowAt(slow int) func(shard, try int) fake.Reply {
	return func(shard, _ int) fake.Reply {
		if shard == slow {
			return fake.Reply{After: 400 * time.Millisecond}
		}
		return fake.Reply{}
	}
}

func ask(t *testing.T, address string, shards ...int) int {
	return askClass(t, address, "route-lookup", shards...)
}

func askClass(t *testing.T, address, class string, shards ...int) int {
	var parts []string
	for _, s := range shards {
		parts = append(parts, fmt.Sprintf(`{"slice":%d,"mass":%g}`, s, 1/float64(len(shards))))
	}
	req, err := http.NewRequest("POST", "http://"+address+"/api", strings.NewReader(`{"slices":[`+strings.Join(parts, ",")+`],"filter":"f"}`))
	if err != nil {
		t.Error(err)
		return 0
	}
	req.Header = http.Header{"X-Call-Id": {fmt.Sprint(time.Now().UnixNano())}, "X-Call-Class": {class},
		"X-Caller": {"kitakaze"}, "X-Budget": {"2900m"}}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

func post(t *testing.T, url, body string) (int, string) {
	res, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	data, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(data)
}
