package main

import (
	"bytes"
	"os"
	"strings"
	"syscall"
	"testing"

	"harepass/internal/logmsg"
)

// The file of a running process is replaced, sometimes by an invalid one. On SIGHUP the process applies new settings.
// If the file is invalid, the old settings stay in force and one log line says so.
func TestReloadReplacesSettingsOrKeepsThem(t *testing.T) {
	h := newHost(t)
	path := h.ConfigPath()
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	r := h.waitReady(h.start())
	status := func(class string) int { return queryClass(t, h.ClientListener.Addr().String(), class, 0) }
	reload := func(data []byte, line string) {
		t.Helper()
		n := strings.Count(r.Log(), line)
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		r.Process.Signal(syscall.SIGHUP)
		eventually(t, line, func() bool { return strings.Count(r.Log(), line) > n })
	}
	if a, b := status("route-lookup"), status("lift-status"); a != 200 || b != 400 {
		t.Errorf("before the reload: statuses of old and new class %d and %d, want 200 and 400", a, b)
	}
	next := bytes.Replace(good, []byte(`"name":"route-lookup"`), []byte(`"name":"lift-status"`), 1)
	next = bytes.Replace(next, []byte(`"most_tries":4`), []byte(`"most_tries":2`), 1)
	reload(next, logmsg.ConfigurationReloaded)
	for _, line := range []string{`change="classes: lift-status is new"`, `change="classes: route-lookup is gone"`,
		`change="caps.most_tries: 2, was 4"`} {
		if !strings.Contains(r.Log(), line) {
			t.Errorf("the log has no line with %s", line)
		}
	}
	for what, bad := range map[string][]byte{"empty": {}, "cut off": good[:len(good)-9],
		"no attempts": bytes.Replace(good, []byte(`"most_tries":4`), []byte(`"most_tries":0`), 1),
		"a key less":  bytes.Replace(good, []byte(`"late_worth":0.3,`), nil, 1)} {
		lines := strings.Count(r.Log(), "\n")
		if reload(bad, logmsg.ConfigurationRejected); strings.Count(r.Log(), "\n") != lines+1 {
			t.Errorf("%s: the rejection is not exactly one log line", what)
		}
		if a, b := status("route-lookup"), status("lift-status"); a != 400 || b != 200 {
			t.Errorf("%s: statuses of old and new class %d and %d, want 400 and 200", what, a, b)
		}
	}
	reload(good, logmsg.ConfigurationReloaded)
	if a, b := status("route-lookup"), status("lift-status"); a != 200 || b != 400 {
		t.Errorf("after the last reload: statuses of old and new class %d and %d, want 200 and 400", a, b)
	}
	h.terminate(r)
}
