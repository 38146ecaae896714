package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"harepass/internal/relay"
	"harepass/internal/test/faultinjection"
)

func TestRelayFile(t *testing.T) {
	dir := t.TempDir()
	for _, tc := range []struct{ text, want string }{
		{"sources: []", "no sources"},
		{"source: []", "field source not found"},
		{"sources: [{address: nowhere}]", "source: address nowhere: missing port"},
		{"sources: [{address: 'a:1'}, {address: 'a:1'}]", "source a:1 stands twice"},
		{"{listen: here, sources: [{address: 'a:1'}]}", "listen: address here: missing port"},
		{"authority: {}", "neither discovery, nodes nor settings"},
		{"{authority: {nodes: n}, sources: [{address: 'a:1'}]}", "an authority has no sources"},
		{"authority: {nodes: n, discovery: 'd:1'}", "not from both"},
		{"authority: {discovery: d}", "discovery: address d: missing port"},
		{"{sources: [{address: 'a:1'}], readers: 0}", "readers 0 has to be from 1 to 20000"},
		{"{sources: [{address: 'a:1'}], memory_mb: 1}", "memory_mb 1 has to be"},
		{"{sources: [{address: 'a:1'}], snapshot_bytes_per_second: 5}", "snapshot_bytes_per_second 5 has to be"},
		{"{sources: [{address: 'a:1'}], heartbeat: 1ms}", "heartbeat 1ms has to be"},
		{"{sources: [{address: 'a:1'}], log_every: 1ms}", "log_every 1ms has to be"},
		{"authority: {nodes: " + filepath.Join(dir, "missing.json") + "}", "missing.json: no such file"},
	} {
		path := filepath.Join(dir, "relay.yaml")
		if err := os.WriteFile(path, []byte(tc.text), 0o600); err != nil {
			t.Fatal(err)
		}
		var out, errs bytes.Buffer
		if status := run([]string{"relay", "-config", path}, &out, &errs); status != 2 || !strings.Contains(errs.String(), tc.want) {
			t.Errorf("%s: status %d, %s, want %q", tc.text, status, errs.String(), tc.want)
		}
	}
	example, err := loadRelay("../../deploy/relay.example.yaml")
	if err != nil {
		t.Fatal(err)
	}
	example.Sources = nil
	if got, want := fmt.Sprintf("%+v", *example), fmt.Sprintf("%+v", usualRelay); got != want {
		t.Errorf("the example says %s, the usual values are %s", got, want)
	}
	var errs bytes.Buffer
	if status := run([]string{"relay"}, io.Discard, &errs); status != 2 || !strings.Contains(errs.String(), "-config FILE is missing") {
		t.Errorf("without a file: status %d, %s", status, errs.String())
	}
}

// Settings are checked as a reload checks them.
func TestFleetSettings(t *testing.T) {
	old, err := os.ReadFile("../../deploy/settings.example.json")
	if err != nil {
		t.Fatal(err)
	}
	if changes, err := checkFleetSettings(nil, old); err != nil || len(changes) != 0 {
		t.Errorf("the example's settings: %v, %v", changes, err)
	}
	for what, next := range map[string]string{"no JSON": "{", "no object": "5", "empty": "{}",
		"a key less": strings.Replace(string(old), `"connect_timeout_us"`, `"connect_timeout"`, 1)} {
		if changes, err := checkFleetSettings(old, json.RawMessage(next)); err == nil {
			t.Errorf("%s: taken over with %v", what, changes)
		}
	}
}

// startRelay runs a relay as a process of its own until it is stopped or the test ends.
func startRelay(t *testing.T, name, config string) (cmd *exec.Cmd, log *faultinjection.Log) {
	t.Helper()
	path := filepath.Join(t.TempDir(), name+".yaml")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	log = &faultinjection.Log{}
	cmd = exec.Command(os.Args[0], "relay", "-config", path)
	cmd.Env, cmd.Stderr = append(os.Environ(), "HAREPASS_TEST_RUN=1"), log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	return cmd, log
}

// relayStatus is what a relay says of itself; nothing before it answers.
func relayStatus(address string) (status relay.Status) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, "GET", "http://"+address+relay.StatusPath, nil)
	if err != nil {
		return status
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return status
	}
	defer answer.Body.Close()
	if json.NewDecoder(answer.Body).Decode(&status) != nil {
		return relay.Status{}
	}
	return status
}

// An authority's process and that of a relay behind it: the files' versions come through, a signal has them read again,
// files with a fault change nothing, and both end when they are told to.
func TestRelayProcesses(t *testing.T) {
	dir := t.TempDir()
	nodes, settings := filepath.Join(dir, "nodes.json"), filepath.Join(dir, "settings.json")
	write := func(path, text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	data, err := os.ReadFile("../../deploy/settings.example.json")
	if err != nil {
		t.Fatal(err)
	}
	list := func(status string) string {
		return `{"endpoints":[{"name":"a","address":"127.0.0.1:1","group":1,"status":"` + status + `"},` +
			`{"name":"b","address":"127.0.0.1:2","group":2,"status":"in_service"}]}`
	}
	write(nodes, list("in_service"))
	write(settings, string(data))
	top, below := apart(t), apart(t)
	authority, authorityLog := startRelay(t, "authority", fmt.Sprintf("{listen: '%s', authority: {nodes: '%s', settings: '%s'}}", top, nodes, settings))
	lower, relayLog := startRelay(t, "relay", fmt.Sprintf("{listen: '%s', sources: [{address: '%s'}]}", below, top))
	at := func(list, settings int64) func() bool {
		return func() bool {
			s := relayStatus(below)
			return s.Endpoints.Index == list && s.Settings.Index == settings && s.Endpoints.Epoch > 0 && s.Settings.Epoch == s.Endpoints.Epoch
		}
	}
	eventually(t, "the relay has both", at(2, 1))
	write(nodes, list("terminating"))
	write(settings, "{}")
	authority.Process.Signal(syscall.SIGHUP)
	eventually(t, "the authority has read its files again", func() bool { return strings.Contains(authorityLog.String(), "files refused") })
	write(settings, string(data)+"\n")
	authority.Process.Signal(syscall.SIGHUP)
	eventually(t, "the relay has the change of the list alone", at(3, 1))
	for _, process := range []*exec.Cmd{authority, lower} {
		process.Process.Signal(syscall.SIGTERM)
		if err := process.Wait(); err != nil {
			t.Errorf("ended with %v:\n%s\n%s", err, authorityLog, relayLog)
		}
	}
}
