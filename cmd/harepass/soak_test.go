package main

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"harepass/internal/rig"
)

// soakSeeds are those that CI plays; `bin/lab soak` plays others.
var soakSeeds = []uint64{1, 2, 3, 4}

// Real processes under troubles that are drawn from a seed: all that has to hold holds by the records of the stand-ins and the
// clients, whichever troubles meet.
func TestSoak(t *testing.T) {
	settings, err := os.ReadFile("../../deploy/settings.example.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, seed := range soakSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f, err := rig.NewFleet(rig.FleetConfig{Dir: t.TempDir(), Command: []string{os.Args[0], "serve"}, Env: []string{"HAREPASS_TEST_RUN=1"}, Settings: settings}, rig.Soak(seed))
			if err != nil {
				t.Fatal(err)
			}
			if err := f.Play(); err != nil {
				t.Error(err)
			}
			var b strings.Builder
			f.Summary(&b)
			t.Log(b.String())
			if err := f.Close(); err != nil {
				t.Error(err)
			}
			if t.Failed() {
				b.Reset()
				f.Print(&b)
				t.Log(b.String())
			}
		})
	}
}
