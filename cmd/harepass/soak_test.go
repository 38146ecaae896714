package main

import (
	"fmt"
	"os"
	"testing"

	"harepass/internal/test/faultinjection"
)

// soakSeeds are those that CI plays, among them seeds that found something; `bin/lab soak` plays others.
var soakSeeds = []uint64{1, 4, 6, 111}

// Real processes under troubles that are drawn from a seed: all that has to hold holds by the records of the stand-ins and the
// clients, whichever troubles meet.
func TestSoak(t *testing.T) {
	settings, err := os.ReadFile("../../deploy/settings.example.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, seed := range soakSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playFleet(t, settings, faultinjection.Soak(seed)) })
	}
}
