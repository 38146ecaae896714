package main

import (
	"fmt"
	"testing"

	"harepass/internal/test/faultinjection"
)

// soakSeeds are the seeds that CI runs, including seeds that have found faults. `bin/lab soak` runs others.
var soakSeeds = []uint64{1, 4, 6, 111}

// Real processes run under faults that are drawn from a seed. Under any combination of faults, all rules hold according
// to the records of the fake replicas and the clients.
func TestSoak(t *testing.T) {
	for _, seed := range soakSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playFleet(t, faultinjection.Soak(seed)) })
	}
}
