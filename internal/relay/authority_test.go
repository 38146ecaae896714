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
	"time"

	"harepass/internal/decide/versionlog"
	"harepass/internal/test/fake"
)

// errBadSettings is the error of the test authority's CheckSettings.
var errBadSettings = errors.New("bad settings")

// newFileAuthority returns an authority that reads files, and its server. write writes the files. Settings that contain
// the word bad fail the check.
func newFileAuthority(t *testing.T) (a *Authority, server *Server, address string, write func(list, settings string)) {
	dir := t.TempDir()
	server = newAuthorityServer(5, ampleBudget)
	address, _ = start(t, server)
	a = &Authority{Endpoints: server.Endpoints, Settings: server.Settings,
		EndpointsFile: filepath.Join(dir, "endpoints.json"), SettingsFile: filepath.Join(dir, "settings.json"),
		CheckSettings: func(old, next json.RawMessage) ([]string, error) {
			if strings.Contains(string(next), "bad") {
				return nil, errBadSettings
			}
			return nil, nil
		}}
	return a, server, address, func(list, settings string) {
		for path, text := range map[string]string{a.EndpointsFile: list, a.SettingsFile: settings} {
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// Contents of an authority's files. The first list has two endpoints. The second one drains the first endpoint and
// omits the other.
const (
	twoEndpoints = `{"endpoints":[ {"name":"a","address":"127.0.0.1:1","status":"in_service", "weight":1.0},
		{"name":"b","address":"127.0.0.1:2","status":"in_service"} ]}`
	oneDraining    = `{"endpoints":[{"name":"a","address":"127.0.0.1:1","status":"terminating"}]}`
	firstSettings  = `{ "x": 1 }`
	secondSettings = `{"x":2}`
)

// faultyFiles are file contents that Load rejects, each with the error that Load returns; nil stands for any error.
var faultyFiles = map[string]struct {
	list, settings string
	err            error
}{
	"settings":        {oneDraining, `{"x":"bad"}`, errBadSettings},
	"long settings":   {oneDraining, `{"x":"` + strings.Repeat("x", 61<<10) + `"}`, versionlog.ErrTooLarge},
	"unreadable list": {`{"endpoints":[`, secondSettings, nil},
	"empty list":      {`{"endpoints":[]}`, secondSettings, ErrEmptyList},
	"status":          {draining("terminating", "resting"), secondSettings, nil},
	"removal":         {draining("terminating", "terminated"), secondSettings, ErrTerminatedEndpoint},
	"address":         {draining("127.0.0.1:1", "127.0.0.1"), secondSettings, nil},
	"name":            {draining(`"name":"a"`, `"name":""`), secondSettings, nil},
	"version":         {draining(`"name":"a"`, `"name":"a","version":9`), secondSettings, ErrVersionedEndpoint},
	"group":           {draining(`"name":"a"`, `"name":"a","group":-1`), secondSettings, ErrInvalidGroup},
	"duplicate":       {strings.Replace(twoEndpoints, `"b"`, `"a"`, 1), secondSettings, ErrDuplicateEndpoint},
}

// draining returns oneDraining with the first occurrence of part replaced.
func draining(part, by string) string { return strings.Replace(oneDraining, part, by, 1) }

// An operator edits the authority's files, and the authority reloads them. It publishes both files, or neither if one
// is faulty. Unchanged files publish no new version, and an endpoint that is no longer in its file is removed.
func TestFilesArePublishedTogetherOrNotAtAll(t *testing.T) {
	a, server, address, write := newFileAuthority(t)
	if err := a.Load(); err == nil {
		t.Error("Load of missing files returned no error")
	}
	write(twoEndpoints, firstSettings)
	for range 2 {
		if err := a.Load(); err != nil {
			t.Fatal(err)
		}
		if list, settings := server.Endpoints.Head().Index, server.Settings.Head().Index; list != 2 || settings != 1 {
			t.Errorf("list is at index %d, settings are at index %d, want 2 and 1", list, settings)
		}
	}
	for what, c := range faultyFiles {
		write(c.list, c.settings)
		if err := a.Load(); err == nil || c.err != nil && !errors.Is(err, c.err) {
			t.Errorf("%s: Load returned error %v, want %v", what, err, c.err)
		}
		if list, settings := server.Endpoints.Head().Index, server.Settings.Head().Index; list != 2 || settings != 1 {
			t.Fatalf("%s: list is at index %d, settings are at index %d, want 2 and 1", what, list, settings)
		}
	}
	write(oneDraining, secondSettings)
	if err := a.Load(); err != nil {
		t.Fatal(err)
	}
	r := newReader(t, address)
	r.readAll(t)
	if len(r.live) != 1 || !strings.Contains(r.live["a"], "terminating") {
		t.Errorf("reader has list %v, want only a, terminating", r.live)
	}
	r = newReader(t, address)
	r.path = SettingsPath
	r.readAll(t)
	if want := `{"version":2,"name":"settings","status":"in_service","settings":{"x":2}}`; r.live["settings"] != want {
		t.Errorf("reader has settings %v, want x to be 2", r.live)
	}
}

// An authority follows the discovery service. Its list keeps all keys of the service's entries. Changes that the
// service makes one by one in quick succession reach a reader in few slices.
func TestDiscoveryListIsPublishedInBatches(t *testing.T) {
	const entries = 300
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var registry fake.Registry
	put := func(i int, status string) {
		registry.Put(fake.Endpoint{Name: fmt.Sprintf("endpoint-%05d", i), Type: "m2", Group: i, Status: status, Weight: 1})
	}
	for i := range entries {
		put(i, "in_service")
	}
	go registry.Serve(listener, func(string) string { return "127.0.0.1:9" }, func(fake.EndpointList) {})
	server := newAuthorityServer(5, ampleBudget)
	address, _ := start(t, server)
	a := &Authority{Endpoints: server.Endpoints, Settings: server.Settings, Discovery: listener.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { a.Run(ctx) })
	defer running.Wait()
	defer cancel()
	waitFor(t, "the authority's list is not complete", func() bool { return server.Endpoints.Head().Index == entries })
	r := newReader(t, address)
	r.readAll(t)
	if len(r.live) != entries || !strings.Contains(r.live["endpoint-00001"], `"type":"m2"`) {
		t.Fatalf("reader has %d entries, endpoint-00001 is %s", len(r.live), r.live["endpoint-00001"])
	}
	r.slices = 0
	for i := range entries {
		put(i, "terminating")
	}
	put(0, "terminated")
	for len(r.live) == entries || strings.Contains(r.live[fmt.Sprintf("endpoint-%05d", entries-1)], "in_service") {
		if status, err := r.call(longWait); status != 200 || err != nil {
			t.Fatalf("reader's call: status %d, error %v, want 200", status, err)
		}
	}
	if r.slices > entries/10 || len(r.live) != entries-1 {
		t.Errorf("reader got %d slices and has %d entries", r.slices, len(r.live))
	}
}

// Discovery announces a drain together with an endpoint whose entry is too large for an answer. The drain is published,
// and only the other entry is rejected. The fault: both waited until discovery sent them again.
func TestDrainBesideRejectedEntryIsPublished(t *testing.T) {
	server := newAuthorityServer(5, ampleBudget)
	a := &Authority{Endpoints: server.Endpoints, Settings: server.Settings}
	ctx, cancel := context.WithCancel(context.Background())
	incoming, ended := make(chan []versionlog.Change), make(chan struct{})
	go func() {
		defer close(ended)
		a.publishBatches(ctx, incoming)
	}()
	incoming <- []versionlog.Change{
		{Name: "long", Object: []byte(`{"name":"long","x":"` + strings.Repeat("x", versionlog.MaxObjectBytes) + `"}`)},
		{Name: "a", Object: []byte(`{"name":"a","status":"terminating"}`)},
	}
	for end := time.Now().Add(5 * time.Second); server.Endpoints.Head().Index == 0 && time.Now().Before(end); {
		time.Sleep(batchInterval)
	}
	cancel()
	<-ended
	if index := server.Endpoints.Head().Index; index != 1 {
		t.Errorf("list is at index %d, want 1: only the drain is published", index)
	}
}

// An authority's files are rewritten while a reload reads them. JSON that is cut anywhere does not parse, so nothing of
// a torn file is published: this is what protects these files, which are read without waiting until they are whole.
func TestTornFilesAreNotPublished(t *testing.T) {
	a, _, _, write := newFileAuthority(t)
	a.CheckSettings = func(_, next json.RawMessage) ([]string, error) { // as config.CheckFleetSettings does first
		var settings map[string]json.RawMessage
		return nil, json.Unmarshal(next, &settings)
	}
	write(twoEndpoints, firstSettings)
	if err := a.Load(); err != nil {
		t.Fatal(err)
	}
	endpoints, settings := a.Endpoints.Head(), a.Settings.Head()
	for cut := range len(oneDraining) {
		write(oneDraining[:cut], secondSettings)
		if err := a.Load(); err == nil {
			t.Errorf("the endpoint list cut to %q was read without an error", oneDraining[:cut])
		}
	}
	for cut := range len(secondSettings) {
		write(oneDraining, secondSettings[:cut])
		if err := a.Load(); err == nil {
			t.Errorf("the settings cut to %q were read without an error", secondSettings[:cut])
		}
	}
	if a.Endpoints.Head() != endpoints || a.Settings.Head() != settings {
		t.Error("a torn file changed what is published")
	}
}
