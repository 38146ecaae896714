package subsetting

import (
	"flag"
	"os"
	"testing"
)

// TestMain has the properties draw the same cases in every run; other seeds are for whoever looks for more.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "7") // a flag on the command line overrides it
	os.Exit(m.Run())
}

// fleet returns all members of a fleet.
func fleet(size int) (all []Member) {
	for i := range size {
		all = append(all, Member{Index: i, FleetSize: size})
	}
	return all
}
