// Package faultcli plays the scenarios, soaks and upgrades of internal/test/faultinjection by hand, with real processes
// of a built program, and reports what came of them. Scenario, Soak and Upgrades are plain structs that cmd/lab fills
// from its flags; each has a Play method that blocks until all processes have ended. An error of Play joins what did
// not hold; errors.Is finds faultinjection.ErrRuleViolated or ErrSoakFailed in it.
package faultcli

import (
	"path/filepath"

	"harepass/internal/test/faultinjection"
)

// newFleet starts a fleet of a built program in a folder of its own.
func newFleet(dir, program string, settings []byte, s *faultinjection.Scenario) (*faultinjection.Fleet, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	c := faultinjection.FleetConfig{Dir: dir, Command: []string{program, "serve"}, Settings: settings}
	return faultinjection.NewFleet(c, s)
}
