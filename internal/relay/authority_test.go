package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"harepass/internal/test/fake"
)

// fromFiles is an authority with files; settings with the word bad in them do not pass its check.
func fromFiles(t *testing.T) (a *Authority, server *Server, address string, write func(nodes, settings string)) {
	dir := t.TempDir()
	server = authority(5, wideBudget)
	address, _ = start(t, server)
	a = &Authority{Endpoints: server.Endpoints, Settings: server.Settings,
		EndpointsFile: filepath.Join(dir, "nodes.json"), SettingsFile: filepath.Join(dir, "settings.json"),
		CheckSettings: func(old, next json.RawMessage) ([]string, error) {
			if strings.Contains(string(next), "bad") {
				return nil, errors.New("bad settings")
			}
			return nil, nil
		}}
	return a, server, address, func(nodes, settings string) {
		for path, text := range map[string]string{a.EndpointsFile: nodes, a.SettingsFile: settings} {
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// Files are taken over both or, where one has a fault, neither; the same again is no news, and a node that has left the
// file is removed.
func TestFilesAreTakenOverWhole(t *testing.T) {
	const (
		one = `{"endpoints":[ {"name":"a","address":"127.0.0.1:1","status":"in_service", "weight":1.0},
			{"name":"b","address":"127.0.0.1:2","status":"in_service"} ]}`
		other    = `{"endpoints":[{"name":"a","address":"127.0.0.1:1","status":"terminating"}]}`
		settings = `{ "x": 1 }`
	)
	a, server, address, write := fromFiles(t)
	if err := a.Load(); err == nil {
		t.Error("files that are missing were taken over")
	}
	write(one, settings)
	for range 2 {
		if err := a.Load(); err != nil {
			t.Fatal(err)
		}
		if nodes, settings := server.Endpoints.Head().Index, server.Settings.Head().Index; nodes != 2 || settings != 1 {
			t.Errorf("the list is at %d, the settings are at %d", nodes, settings)
		}
	}
	for what, files := range map[string][2]string{
		"settings":        {other, `{"x":"bad"}`},
		"long settings":   {other, `{"x":"` + strings.Repeat("x", 61<<10) + `"}`},
		"unreadable list": {`{"endpoints":[`, `{"x":2}`},
		"empty list":      {`{"endpoints":[]}`, `{"x":2}`},
		"status":          {strings.Replace(other, "terminating", "resting", 1), `{"x":2}`},
		"removal":         {strings.Replace(other, "terminating", "terminated", 1), `{"x":2}`},
		"address":         {strings.Replace(other, "127.0.0.1:1", "127.0.0.1", 1), `{"x":2}`},
		"name":            {strings.Replace(other, `"name":"a"`, `"name":""`, 1), `{"x":2}`},
		"version":         {strings.Replace(other, `"name":"a"`, `"name":"a","version":9`, 1), `{"x":2}`},
		"group":           {strings.Replace(other, `"name":"a"`, `"name":"a","group":-1`, 1), `{"x":2}`},
		"twice":           {strings.Replace(one, `"b"`, `"a"`, 1), `{"x":2}`},
	} {
		write(files[0], files[1])
		if err := a.Load(); err == nil {
			t.Errorf("%s: taken over", what)
		}
		if nodes, settings := server.Endpoints.Head().Index, server.Settings.Head().Index; nodes != 2 || settings != 1 {
			t.Fatalf("%s: the list is at %d, the settings are at %d", what, nodes, settings)
		}
	}
	write(other, `{"x":2}`)
	if err := a.Load(); err != nil {
		t.Fatal(err)
	}
	r := newReader(t, address)
	r.readAll(t)
	if len(r.live) != 1 || !strings.Contains(r.live["a"], "terminating") {
		t.Errorf("the list is %v", r.live)
	}
	r = newReader(t, address)
	r.path = SettingsPath
	r.readAll(t)
	if want := `{"version":2,"name":"settings","status":"in_service","settings":{"x":2}}`; r.live["settings"] != want {
		t.Errorf("the settings are %v", r.live)
	}
}

// The list is the discovery service's, with all its keys; changes made one by one in a moment go out in few slices; a
// service that begins anew, with lower versions, does not set the readers' versions back.
func TestListOfDiscovery(t *testing.T) {
	const list = 300
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var registry fake.Registry
	put := func(i int, status string) {
		registry.Put(fake.Entry{Name: fmt.Sprintf("node-%05d", i), Type: "m2", Group: i, Status: status, Weight: 1})
	}
	for i := range list {
		put(i, "in_service")
	}
	go registry.Serve(listener, func(string) string { return "127.0.0.1:9" }, func(fake.Listing) {})
	server := authority(5, wideBudget)
	address, _ := start(t, server)
	a := &Authority{Endpoints: server.Endpoints, Settings: server.Settings, Discovery: listener.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { a.Run(ctx) })
	defer running.Wait()
	defer cancel()
	waitFor(t, "the list has not come", func() bool { return server.Endpoints.Head().Index == list })
	r := newReader(t, address)
	r.readAll(t)
	if len(r.live) != list || !strings.Contains(r.live["node-00001"], `"type":"m2"`) {
		t.Fatalf("%d entries, one is %s", len(r.live), r.live["node-00001"])
	}
	r.slices = 0
	for i := range list {
		put(i, "terminating")
	}
	put(0, "terminated")
	for len(r.live) == list || strings.Contains(r.live[fmt.Sprintf("node-%05d", list-1)], "in_service") {
		if status, err := r.call(longHold); status != 200 || err != nil {
			t.Fatalf("status %d, %v", status, err)
		}
	}
	if r.slices > list/10 || len(r.live) != list-1 {
		t.Errorf("%d slices, %d entries", r.slices, len(r.live))
	}
}
