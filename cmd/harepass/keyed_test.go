package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"harepass/internal/test/fake"
	"harepass/internal/test/faultinjection"
)

// send sends a request with headers and returns the status and the body.
func send(t *testing.T, url, body string, header map[string]string) (int, string) {
	t.Helper()
	req, err := http.NewRequest("POST", url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer res.Body.Close()
	data, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(data)
}

// update is a claim update by the platform's protocol.
func update(t *testing.T, address, id, key string, section int) (int, string) {
	header := map[string]string{"X-Call-Id": id, "X-Call-Class": "claim-update", "X-Caller": "kitakaze", "X-Budget": "3900m"}
	if key != "" {
		header["Idempotency-Key"] = key
	}
	return send(t, "http://"+address+"/api", fmt.Sprintf(`{"slices":[{"slice":%d,"mass":1}],"filter":"f"}`, section), header)
}

// The whole program with both fronts before both kinds of nodes: the key of an update goes to its node, also with the attempt
// that follows a connection broken after SIGTERM, and an update without one is told what it lacks.
func TestKeysThroughTheProgram(t *testing.T) {
	const breaks = 5
	nodes := &fake.Replicas{Script: func(shard, try int) fake.Reply {
		if shard == breaks && try == 0 {
			return fake.Reply{Kind: fake.Disconnect, After: 300 * time.Millisecond}
		}
		return fake.Reply{}
	}}
	frames, api, discovery := listen(t), listen(t), listen(t)
	go nodes.ServeFrames(frames)
	go nodes.ServeAPI(api)
	go fake.ServeDiscovery(discovery, func() string {
		return fmt.Sprintf(`{"index":1,"snapshot":true,"endpoints":[{"name":"f0","address":%q,"zone":"z","type":"m","group":0,"status":"in_service","weight":1,"since_ms":0}]}`, frames.Addr())
	})
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
	_, port, _ := net.SplitHostPort(api.Addr().String())
	write("nodes.csv", "name,address,port,cell,api\na0,127.0.0.1,"+port+",0,opensearch\n")
	conf, _ := json.Marshal(map[string]any{"name": "n1", "listen": native, "discovery": discovery.Addr().String(), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": map[string]any{"index": 0, "snapshot": true, "endpoints": []any{}},
		"settings": json.RawMessage(settings)})
	cmd := exec.Command(os.Args[0], "serve", "-opensearch",
		write("front.yaml", "listen: "+search+"\ninventory: nodes.csv\nindices:\n  claims: {class: claim-update, reports: true}\n"))
	cmd.Env = append(os.Environ(), "HAREPASS_TEST_RUN=1", "PROXY_CONFIG="+write("config.json", string(conf)), "PROXY_LISTEN="+native, "PROXY_DISCOVERY="+discovery.Addr().String())
	log := &faultinjection.Log{}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	kinds := func() (framed, asked bool) {
		for _, line := range nodes.Received() {
			framed, asked = framed || !strings.HasPrefix(line, "PUT "), asked || strings.HasPrefix(line, "PUT ")
		}
		return framed, asked
	}
	eventually(t, "serving", func() bool { return strings.Contains(log.String(), "serving") })
	n := 0
	eventually(t, "both kinds of nodes are asked", func() bool {
		n++
		id := fmt.Sprint("k", n)
		update(t, native, "n-"+id, id, 2)
		send(t, "http://"+search+"/claims/_doc", `{"section":1,"pin":"x"}`, map[string]string{"Idempotency-Key": id})
		framed, asked := kinds()
		return framed && asked && n > 20
	})
	for _, url := range []string{"http://" + search + "/claims/_doc", "http://" + search + "/claims/_create/c7"} {
		if status, body := send(t, url, `{"section":1,"pin":"x"}`, nil); status != 400 || !strings.Contains(body, "Idempotency-Key") {
			t.Errorf("%s without a key: %d %s", url, status, body)
		}
	}
	if status, body := update(t, native, "bare", "", 2); status != 400 || !strings.Contains(body, "Idempotency-Key") {
		t.Errorf("an update without a key: %d %s", status, body)
	}
	for _, line := range nodes.Received() {
		if !strings.Contains(line, ",k=k") && !strings.Contains(line, " key=k") {
			t.Errorf("a node was asked %q", line)
		}
	}

	before := len(nodes.Received())
	done := make(chan int)
	go func() {
		status, _ := update(t, native, "last", "the-last-key", breaks)
		done <- status
	}()
	eventually(t, "an update under way", func() bool { return len(nodes.Received()) > before })
	cmd.Process.Signal(syscall.SIGTERM)
	if status := <-done; status != 200 {
		t.Errorf("under way at SIGTERM: %d", status)
	}
	last := nodes.Received()[before:]
	if len(last) != 2 {
		t.Errorf("the last update came as %q, want two attempts", last)
	}
	for _, line := range last {
		if !strings.Contains(line, ",k=the-last-key ") && !strings.HasSuffix(line, " key=the-last-key") {
			t.Errorf("an attempt of the last update came as %q", line)
		}
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v\n%s", err, log)
	}
}

// Where a class says that 0.67 of the parts are enough, an answer from as much is whole though a part cannot be had, and there
// is none from less.
func TestShareOfThePartsIsWhole(t *testing.T) {
	t.Parallel()
	s := newSmall(t, 96, 3)
	s.nodes[2].Script = func(int, int) fake.Reply { return fake.Reply{Kind: fake.Fail} } // the only one with section 2
	s.adapt = func(settings map[string]any) {
		family := settings["family_info"].(map[string]any)
		family["reach"], family["positions"], family["shards"] = 1, 3, 3
		family["need_by_class"], family["floor_by_class"] = []any{1.0, 1.0, 0.67, 1.0}, []any{1.0, 1.0, 0.67, 1.0}
	}
	l := listen(t)
	go fake.ServeDiscovery(l, func() string { return string(s.list(1, inService)) })
	s.mode = "push"
	s.config(s.list(1, inService), l.Addr().String())
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "it serves", func() bool { return strings.Contains(s.log.String(), "serving") })
	for name, tc := range map[string]struct {
		masses [3]float64 // of sections 0, 1 and 2
		whole  bool
	}{
		"0.67 is in":  {[3]float64{0.34, 0.33, 0.33}, true},
		"0.8 is in":   {[3]float64{0.5, 0.3, 0.2}, true},
		"0.66 is in":  {[3]float64{0.33, 0.33, 0.34}, false},
		"none but 2":  {[3]float64{0, 0, 1}, false},
		"nearly none": {[3]float64{0.1, 0.1, 0.8}, false},
	} {
		var slices []string
		for section, mass := range tc.masses {
			if mass > 0 {
				slices = append(slices, fmt.Sprintf(`{"slice":%d,"mass":%g}`, section, mass))
			}
		}
		status, body := send(t, "http://"+s.native+"/api", `{"slices":[`+strings.Join(slices, ",")+`],"filter":"f"}`, map[string]string{
			"X-Call-Id": strings.NewReplacer(" ", "-", ".", "").Replace(name), "X-Call-Class": "conditions-summary", "X-Caller": "kitakaze", "X-Budget": "2900m"})
		var a struct {
			Entire bool
			Items  []struct{ Slice int }
		}
		if status == 200 {
			if err := json.Unmarshal([]byte(body), &a); err != nil {
				t.Fatal(err)
			}
		}
		if got := status == 200 && a.Entire && len(a.Items) == 2; got != tc.whole || status == 200 && !tc.whole {
			t.Errorf("%s: %d %s", name, status, body)
		}
	}
}

// Lists are pushed, and new work has to end half a second after the agent knows that a node drains: also where the watch that
// stands then is never answered, since discovery was down for a moment.
func TestDrainsBehindASilentAgent(t *testing.T) {
	t.Parallel()
	s := newSmall(t, 256, 6)
	s.mode = "push"
	l := listen(t)
	var silent, changed atomic.Bool
	stands := make(chan struct{}, 1000)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		version, state := 1, inService
		hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
		if changed.Load() {
			version, state = 2, func(i int) string { return []string{"terminating", "in_service"}[min(i/2, 1)] }
		} else if hold > 1 {
			stands <- struct{}{}
			for end := time.Now().Add(time.Duration(hold) * time.Millisecond); time.Now().Before(end) && !silent.Load(); {
				time.Sleep(time.Millisecond)
			}
			if silent.Load() {
				<-r.Context().Done()
				return
			}
		}
		if r.URL.Query().Get("from") == fmt.Sprint(version) {
			fmt.Fprintf(w, `{"index":%d,"snapshot":false,"endpoints":[]}`, version)
			return
		}
		w.Write(s.list(version, state))
	}))
	s.config(s.list(1, inService), l.Addr().String())
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "it serves", func() bool { return strings.Contains(s.log.String(), "serving") && ask(t, s.native, 0) == 200 })
	load := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if status := ask(t, s.native, 0, 1, 2, 3, 4, 5); status != 200 {
				t.Errorf("a query ended with %d", status)
			}
		}
	}
	load(200 * time.Millisecond)
	for len(stands) > 0 {
		<-stands
	}
	<-stands // the watch that stands has just begun
	silent.Store(true)
	time.Sleep(20 * time.Millisecond)
	changed.Store(true)
	load(800 * time.Millisecond)
	count := func() int { return len(s.nodes[0].Received()) + len(s.nodes[1].Received()) }
	before := count()
	if before == 0 {
		t.Error("nothing ever went to the nodes that drain")
	}
	load(700 * time.Millisecond)
	if n := count() - before; n > 0 {
		t.Errorf("%d parts went to nodes that had been announced as leaving", n)
	}
}
