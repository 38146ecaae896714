package main

import (
	"bytes"
	"context"
	"fmt"
	"log"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"harepass/internal/test/scaletest"
)

// TestMain runs the test binary as the program if the variable in asProgram is set, for tests on real sockets and
// signals, or as a host of hollow coordinators.
func TestMain(m *testing.M) {
	if variable, value, _ := strings.Cut(asProgram, "="); os.Getenv(variable) != value {
		os.Exit(m.Run())
	}
	if len(os.Args) > 1 && os.Args[1] == scaletest.HollowCommand {
		if err := scaletest.RunHost(context.Background(), os.Stdin, os.Stdout); err != nil {
			log.Fatal(err)
		}
		return
	}
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// Scripts depend on the exit status, and operators read one line on standard error.
func TestExitStatusAndMessage(t *testing.T) {
	dir := t.TempDir()
	write := fileWriter(t, dir)
	example := "../../deploy/opensearch.example.yaml"
	settingsPath, err := filepath.Abs("../../deploy/settings.example.json")
	if err != nil {
		t.Fatal(err)
	}
	serve := []string{"serve"}
	lowLimits := fmt.Sprintf(`{"listen":"x:1","discovery":"y:1","seed":"1f","limits":{"sockets":9,"memory_mb":64},`+
		`"settings":%s}`, exampleSettings(t))
	for _, tc := range []struct {
		args   []string
		config string // PROXY_CONFIG
		status int
		want   string
	}{
		{nil, "", statusInvalid, "usage: "},
		{[]string{"dance"}, "", statusInvalid, "usage: "},
		{[]string{"help"}, "", statusOK, "usage: "},
		{[]string{"serve", "-h"}, "", statusOK, "-opensearch"},
		{[]string{"version"}, "", statusOK, "harepass " + version},
		{[]string{"version", "now"}, "", statusInvalid, `version takes no arguments, got "now"`},
		{[]string{"serve", "-port", "1"}, "", statusInvalid, "flag provided but not defined: -port"},
		{serve, "", statusInvalid, "nothing to serve"},
		{[]string{"serve", "-opensearch", "nowhere.yaml"}, "", statusInvalid, "nowhere.yaml: no such file"},
		{serve, filepath.Join(dir, "none.json"), statusInvalid, "no such file"},
		{serve, write("bad.json", "{"), statusInvalid, "bad.json: unexpected end"},
		{serve, write("bare.json", `{"listen":"x:1"}`), statusInvalid, "no discovery address"},
		{serve, write("port.json", `{"listen":"x:1","discovery":"y"}`), statusInvalid,
			"discovery address: address y: missing port"},
		{serve, write("seed.json", `{"listen":"x:1","discovery":"y:1","seed":"zz"}`), statusInvalid, `seed "zz"`},
		{serve, write("sets.json", `{"listen":"x:1","discovery":"y:1","seed":"1f","settings":{}}`), statusInvalid,
			"family_info.positions is missing"},
		{serve, write("limits.json", lowLimits), statusInvalid, "too low"},
		{[]string{"check", "-opensearch", example}, "", statusOK, "ok\n"},
		{[]string{"check", "-opensearch", write("inv.yaml", "listen: x\nsettings: "+settingsPath+
			"\ninventory: bad.csv\nindices: {a: {class: route-lookup}}\n")}, "", statusInvalid, "bad.csv:2: host n"},
	} {
		write("bad.csv", "name,port,cell\nn,1,77\n")
		t.Setenv("PROXY_CONFIG", tc.config)
		var out, errs bytes.Buffer
		status := run(tc.args, &out, &errs)
		text := out.String() + errs.String()
		if status != tc.status || !strings.Contains(text, tc.want) ||
			status == statusInvalid && strings.Count(errs.String(), "\n") != 1 {
			t.Errorf("%q: status %d, output %q; want status %d and %q", tc.args, status, text, tc.status, tc.want)
		}
	}
}

// Scripts that wrap the program depend on these numbers.
func TestExitStatuses(t *testing.T) {
	if statusOK != 0 || statusFailed != 1 || statusInvalid != 2 {
		t.Errorf("exit statuses %d, %d, %d, want 0, 1, 2", statusOK, statusFailed, statusInvalid)
	}
}
