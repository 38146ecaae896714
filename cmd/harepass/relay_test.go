package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"harepass/internal/logmsg"
	"harepass/internal/relay"
)

// A relay whose file has a fault names the fault in one line and exits with the status for bad configuration.
func TestRelayFileFaultsAreReported(t *testing.T) {
	dir := t.TempDir()
	write := fileWriter(t, dir)
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
		var out, errs bytes.Buffer
		status := run([]string{"relay", "-config", write("relay.yaml", tc.text)}, &out, &errs)
		if status != statusInvalid || !strings.Contains(errs.String(), tc.want) {
			t.Errorf("relay file %s: status %d, output %s, want %q", tc.text, status, errs.String(), tc.want)
		}
	}
	var errs bytes.Buffer
	status := run([]string{"relay"}, io.Discard, &errs)
	if status != statusInvalid || !strings.Contains(errs.String(), "-config FILE is missing") {
		t.Errorf("without -config: status %d, output %s", status, errs.String())
	}
}

// startRelay starts a relay process with the given text as its file. The process ends with the test at the latest.
func startRelay(t *testing.T, text string) *program {
	t.Helper()
	return startProgram(t, nil, "relay", "-config", fileWriter(t, t.TempDir())("relay.yaml", text))
}

// relayStatus returns the status that a relay reports, or the zero value if it does not answer.
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

// An authority and a relay that follows it run as processes. The relay gets the versions of the authority's files. At
// SIGHUP the authority reads its files again; a faulty file changes nothing. Both processes end at SIGTERM.
func TestRelayGivesOutAuthorityVersions(t *testing.T) {
	dir := t.TempDir()
	write := fileWriter(t, dir)
	settings := string(exampleSettings(t))
	list := func(status string) string {
		return `{"endpoints":[{"name":"a","address":"127.0.0.1:1","group":1,"status":"` + status + `"},` +
			`{"name":"b","address":"127.0.0.1:2","group":2,"status":"in_service"}]}`
	}
	nodesPath, settingsPath := write("nodes.json", list("in_service")), write("settings.json", settings)
	authorityAt, relayAt := ownAddress(t), ownAddress(t)
	authority := startRelay(t, fmt.Sprintf("{listen: '%s', authority: {nodes: '%s', settings: '%s'}}",
		authorityAt, nodesPath, settingsPath))
	lower := startRelay(t, fmt.Sprintf("{listen: '%s', sources: [{address: '%s'}]}", relayAt, authorityAt))
	hasVersions := func(list, settings int64) func() bool {
		return func() bool {
			s := relayStatus(relayAt)
			return s.Endpoints.Index == list && s.Settings.Index == settings && s.Endpoints.Epoch > 0 &&
				s.Settings.Epoch == s.Endpoints.Epoch
		}
	}
	eventually(t, "the relay has the list and the settings", hasVersions(2, 1))
	write("nodes.json", list("terminating"))
	write("settings.json", "{}")
	authority.Process.Signal(syscall.SIGHUP)
	eventually(t, "the authority has rejected a faulty file", func() bool {
		return authority.logged(logmsg.AuthorityFilesRejected)
	})
	write("settings.json", settings+"\n")
	authority.Process.Signal(syscall.SIGHUP)
	eventually(t, "the relay has the change of the list and the old settings", hasVersions(3, 1))
	for _, process := range []*program{authority, lower} {
		process.Process.Signal(syscall.SIGTERM)
		if err := process.Wait(); err != nil {
			t.Errorf("exit after SIGTERM: %v; logs of authority and relay:\n%s\n%s", err, authority.log, lower.log)
		}
	}
}
