// Package choices is an experiment on which replicas the coordinators of a fleet choose. It plays fleets of three sizes
// whose coordinators know their ordinals, and beside each of them a fleet whose coordinators do not: at work, while
// replicas do not respond, when all replicas have restarted, and when a zone is lost and comes back.
package choices

import (
	"fmt"
	"time"

	"harepass/internal/test/experiment"
	"harepass/internal/test/fleetsim"
)

// Experiment plays the fleets in virtual time.
var Experiment = experiment.Experiment{
	Name: "choices",
	Short: "fleets of 30, 300 and 1,000 that know their place, beside the same without: " +
		"at work, with hung and with cold nodes, with a zone lost; virtual time",
	Run: run,
}

// fleetSize is a size of fleet that is played. Its spans let a replica get some thousand parts at work, so that
// counts differ by chance by about a twentieth.
type fleetSize struct {
	coordinators, replicas int
	work                   time.Duration // span at work that counts
	afterFault             time.Duration // span after a fault that counts
}

var fleetSizes = []fleetSize{
	{coordinators: 30, replicas: 20, work: 40 * time.Second, afterFault: 8 * time.Second},
	{coordinators: 300, replicas: 200, work: 20 * time.Second, afterFault: 6 * time.Second},
	{coordinators: 1000, replicas: 200, work: 16 * time.Second, afterFault: 4 * time.Second},
}

// comparedSize is the index in fleetSizes of the size at which connections and the loss of a zone are judged.
const comparedSize = 1

// replicasPerPosition is how many replicas lie at a position of the ring.
const replicasPerPosition = 1

// run plays all fleets and reports them.
func run(r *experiment.Report) error {
	results, err := playAll()
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

// newFleet sets up a fleet of a size.
func (s fleetSize) newFleet(knowOrdinals bool) (*fleetsim.Fleet, error) {
	c := fleetsim.BusyConfig(s.coordinators, s.replicas, replicasPerPosition)
	c.KnowOrdinals = knowOrdinals
	f, err := fleetsim.New(c)
	if err != nil {
		return nil, fmt.Errorf("choices: fleet of %d: %w", s.coordinators, err)
	}
	return f, nil
}

// busyFleet sets up a fleet of a size that has been at work for a while, and begins a measurement.
func (s fleetSize) busyFleet(knowOrdinals bool) (*fleetsim.Fleet, error) {
	f, err := s.newFleet(knowOrdinals)
	if err != nil {
		return nil, err
	}
	f.Run(4 * time.Second)
	f.BeginMeasurement()
	return f, nil
}
