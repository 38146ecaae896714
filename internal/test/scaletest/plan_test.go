package scaletest

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Every committed plan passes validation.
func TestCommittedPlansLoad(t *testing.T) {
	files, err := filepath.Glob("plans/*.yaml")
	if err != nil || len(files) < 4 {
		t.Fatalf("found plans %v, error %v, want at least 4 plans", files, err)
	}
	for _, file := range files {
		if _, err := LoadPlan(file); err != nil {
			t.Error(err)
		}
	}
}

// A plan that cannot be executed is rejected. The error names the file and the invalid value.
func TestInvalidPlansAreRejected(t *testing.T) {
	base := "name: x\nlasts: 10s\nregions: 2\nzones: 3\ncoordinators: 5\nhosts: 1\nentries: 9\nrelays: 2\n"
	for text, want := range map[string]string{
		base + "colour: red\n":                                              "colour",
		strings.Replace(base, "regions: 2", "regions: 8", 1):                "regions: 8",
		strings.Replace(base, "zones: 3", "zones: 1", 1):                    "zones: 1",
		strings.Replace(base, "hosts: 1", "hosts: 0", 1):                    "hosts",
		strings.Replace(base, "relays: 2", "relays: 10", 1):                 "relays: 10",
		strings.Replace(base, "relays: 2", "relays: 0", 1):                  "a plan without relays needs",
		strings.Replace(base, "lasts: 10s", "lasts: 1h", 1):                 "lasts",
		base + "clients: 1\n":                                               "nodes: clients need",
		base + "cells: 12\n":                                                "cells: 12",
		base + "modules: 6\n":                                               "modules: 6",
		base + "troubles: [{at: 1s}]":                                       "names 0 faults",
		base + "troubles: [{at: 1s, kill_relay: 0, zone_gone: 0}]":          "names 2 faults",
		base + "troubles: [{at: 1s, kill_relay: 2}]":                        "kill_relay: 2",
		base + "troubles: [{at: 1s, pause_relay: 1}]":                       "need a duration",
		base + "troubles: [{at: 6s, cut_region: 1, for: 5s}]":               "ends at or after the end",
		base + "troubles: [{at: 1s, spoil: rotten, for: 1s}]":               `spoil: "rotten"`,
		base + "troubles: [{at: 1s, settings: odd, for: 1s}]":               `settings: "odd"`,
		base + "troubles: [{at: 5s, zone_gone: 0}, {at: 1s, zone_gone: 1}]": "earlier than the previous one",
	} {
		file := filepath.Join(t.TempDir(), "x.yaml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := LoadPlan(file)
		if !errors.Is(err, ErrInvalidPlan) || !strings.Contains(err.Error(), want) ||
			!strings.Contains(err.Error(), file) {
			t.Errorf("plan %s: error %v, want ErrInvalidPlan with the file and %q", text, err, want)
		}
	}
}
