package main

import (
	"fmt"
	"testing"

	"harepass/internal/test/faultinjection"
)

// soakSeeds are those that CI plays, among them seeds that found something; `bin/lab soak` plays others.
var soakSeeds = []uint64{1, 4, 6, 111}

// Real processes under faults that are drawn from a seed. Whichever faults meet, everything that has to hold does, by
// the records of the fake replicas and the clients.
func TestSoak(t *testing.T) {
	for _, seed := range soakSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playFleet(t, faultinjection.Soak(seed)) })
	}
}
