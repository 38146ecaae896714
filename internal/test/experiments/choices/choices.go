// Package choices is an experiment on how the coordinators of a fleet choose replicas. For each of three fleet sizes it
// simulates a fleet whose coordinators know their ordinals and one whose coordinators do not. The situations are normal
// operation, unresponsive replicas, a restart of all replicas, and the loss and return of a zone.
package choices

import (
	"fmt"
	"time"

	"harepass/internal/test/experiment"
	"harepass/internal/test/fleetsim"
)

// Experiment simulates all fleets in virtual time.
var Experiment = experiment.Experiment{
	Name: "choices",
	Short: "fleets of 30, 300 and 1,000 that know their place, beside the same without: " +
		"at work, with hung and with cold nodes, with a zone lost; virtual time",
	Run: run,
}

// fleetSize is a simulated fleet size with its measured spans. In normal operation a replica gets about a thousand
// parts within the span, so its count varies by chance by about a twentieth.
type fleetSize struct {
	coordinators, replicas int
	normalSpan             time.Duration // measured span of normal operation
	afterFault             time.Duration // measured span after a fault
}

var fleetSizes = []fleetSize{
	{coordinators: 30, replicas: 20, normalSpan: 40 * time.Second, afterFault: 8 * time.Second},
	{coordinators: 300, replicas: 200, normalSpan: 20 * time.Second, afterFault: 6 * time.Second},
	{coordinators: 1000, replicas: 200, normalSpan: 16 * time.Second, afterFault: 4 * time.Second},
}

// comparedSize is the index in fleetSizes of the size at which the targets for connections and for the loss of a zone
// apply.
const comparedSize = 1

// replicasPerPosition is the number of replicas at each ring position.
const replicasPerPosition = 1

// run simulates all fleets and reports the results.
func run(r *experiment.Report) error {
	results, err := simulateAll()
	if err != nil {
		return err
	}
	r.Table("coordinators", "nodes", "places", "parts", "jain", "connections", "of them", "trials", "cold", "fell",
		"worth", "zone lost")
	for i, size := range fleetSizes {
		if err := reportSize(r, size, results[i]); err != nil {
			return err
		}
	}
	reportComparison(r, results[comparedSize])
	return nil
}

// newFleet sets up a fleet of size s.
func (s fleetSize) newFleet(knowOrdinals bool) (*fleetsim.Fleet, error) {
	c := fleetsim.BusyConfig(s.coordinators, s.replicas, replicasPerPosition)
	c.KnowOrdinals = knowOrdinals
	f, err := fleetsim.New(c)
	if err != nil {
		return nil, fmt.Errorf("choices: set up a fleet of %d coordinators: %w", s.coordinators, err)
	}
	return f, nil
}

// busyFleet sets up a fleet of size s, runs it for a while in normal operation, and begins a measurement.
func (s fleetSize) busyFleet(knowOrdinals bool) (*fleetsim.Fleet, error) {
	f, err := s.newFleet(knowOrdinals)
	if err != nil {
		return nil, err
	}
	f.Run(4 * time.Second)
	f.BeginMeasurement()
	return f, nil
}
