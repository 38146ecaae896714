package faultinjection

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Load refuses a scenario that no fleet could execute, with an error that names the file, the step and the fault.
func TestLoadRefusesInvalidScenarios(t *testing.T) {
	base := "name: x\ncoordinators: 2\nnodes: 3\nclients: 1\nwork: 1ms\nlasts: 2s\n"
	for text, want := range map[string]string{
		strings.Replace(base, "nodes: 3", "nodes: 2", 1):                              "nodes: 2",
		strings.Replace(base, "clients: 1", "clients: 0", 1):                          "clients",
		base + "colour: red\n":                                                        "colour",
		base + "sets: [2, 2]\n":                                                       "have 4 nodes, not 3",
		base + "steps: [{at: 1s}]":                                                    "has 0 actions",
		base + "steps: [{at: 1s, kill: c0, pause: c1}]":                               "has 2 actions",
		base + "steps: [{at: 1s, kill: c7}]":                                          `no match for "c7"`,
		base + "steps: [{at: 1s, link: c0 n1}]":                                       "needs FROM and TO",
		base + "steps: [{at: 1s, link: c0 n1, cut: up}]":                              `cut "up"`,
		base + "steps: [{at: 1s, cut: both}]":                                         "has 0 actions",
		base + "steps: [{at: 1s, node: n1, becomes: happy}]":                          `becomes "happy"`,
		base + "steps: [{at: 1s, kill: c0}, {at: 500ms, start: c0}]":                  "comes before",
		base + "steps: [{at: 5s, kill: c0}]":                                          "less than the last step",
		base + "steps: [{at: 1s, grow: 4, told: \"c[0-3]\"}, {at: 2s, told: \"c0\"}]": "has 0 actions",
	} {
		file := filepath.Join(t.TempDir(), "x.yaml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Load(file)
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), file) {
			t.Errorf("%s: error %v, want %q", text, err, want)
		}
		if !errors.Is(err, ErrInvalidScenario) {
			t.Errorf("%s: error %v does not wrap ErrInvalidScenario", text, err)
		}
	}
	file := filepath.Join(t.TempDir(), "x.yaml")
	steps := "steps: [{at: 1s, link: \"c* n[0-1]\", cut: back}, {at: 2s, link: \"c* n*\", heal: true}]"
	os.WriteFile(file, []byte(base+steps), 0o600)
	if s, err := Load(file); err != nil || len(s.Steps) != 2 {
		t.Errorf("a valid scenario: error %v, want none and 2 steps", err)
	}
}
