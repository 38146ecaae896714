package subsetting

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests so that every run draws the same cases. Set -rapid.seed for others.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "7") // -rapid.seed on the command line overrides it
	os.Exit(m.Run())
}

// fleet returns all members of a fleet.
func fleet(size int) (all []Member) {
	for i := range size {
		all = append(all, Member{Index: i, FleetSize: size})
	}
	return all
}
