// Package choices is an experiment: fleets of three sizes whose coordinators know their number in the fleet, beside the same
// fleets without, at work, while nodes hang, when all nodes have returned cold, and when a zone is lost and returns cold.
package choices

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"harepass/internal/test/experiment"
	"harepass/internal/test/fleetsim"
)

// Experiment plays the fleets in virtual time.
var Experiment = experiment.Experiment{
	Name:  "choices",
	Short: "fleets of 30, 300 and 1,000 that know their place, beside the same without: at work, with hung and with cold nodes, with a zone lost; virtual time",
	Run:   run,
}

// fleetSize is a fleet of the experiment. The spans are such that each node is sent some thousand parts at work: what is left
// to chance is then a twentieth.
type fleetSize struct {
	members, nodes int
	work           time.Duration // at work, counted
	afterFault     time.Duration // after a fault, counted
}

var fleetSizes = []fleetSize{
	{members: 30, nodes: 20, work: 40 * time.Second, afterFault: 8 * time.Second},
	{members: 300, nodes: 200, work: 20 * time.Second, afterFault: 6 * time.Second},
	{members: 1000, nodes: 200, work: 16 * time.Second, afterFault: 4 * time.Second},
}

const nodesPerCell = 1

// The aims.
const (
	maxImbalance   = 1.15 // of the busiest node over the mean
	maxConnections = 0.5  // of the fleet, over those without numbers
	minZoneGain    = 1.15 // of the worth while a zone is lost, over that without numbers
	maxWorthLoss   = 0.01
)

// result is what one fleet came to in all situations.
type result struct {
	parts, connections, trials float64 // the busiest node over the mean; trials are parts at nodes that are known to hang
	jain                       float64 // fairness index of the parts
	open                       float64 // connections of the whole fleet
	fallen                     int     // cold nodes
	coldPressure               float64 // the most that a cold node was sent, of what makes it fall
	worth, zoneWorth           float64
	load                       [][]int // by second and node
}

// add takes what another situation came to into the result.
func (r *result) add(o result) {
	r.parts, r.connections, r.trials = r.parts+o.parts, r.connections+o.connections, r.trials+o.trials
	r.jain, r.open = r.jain+o.jain, r.open+o.open
	r.fallen, r.coldPressure = r.fallen+o.fallen, max(r.coldPressure, o.coldPressure)
	r.worth, r.zoneWorth = r.worth+o.worth, r.zoneWorth+o.zoneWorth
	if o.load != nil {
		r.load = o.load
	}
}

// playAll plays every situation with fleets of all sizes, without numbers (0) and with (1), as many at a time as there are
// processors.
func playAll() ([][2]result, error) {
	results := make([][2]result, len(fleetSizes))
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed error
	slots := make(chan struct{}, max(1, runtime.NumCPU()))
	for i := range slices.Backward(fleetSizes) { // the longest first
		for k, numbered := range []bool{false, true} {
			for _, play := range []situation{atWork, allCold, zoneLost} {
				slots <- struct{}{}
				wg.Go(func() {
					defer func() { <-slots }()
					own, err := play(fleetSizes[i], numbered)
					mu.Lock()
					defer mu.Unlock()
					if failed == nil {
						failed = err
					}
					results[i][k].add(own)
				})
			}
		}
	}
	wg.Wait()
	return results, failed
}

func run(r *experiment.Report) error {
	results, err := playAll()
	if err != nil {
		return err
	}
	r.Table("coordinators", "nodes", "places", "parts", "jain", "connections", "of them", "trials", "cold", "fell", "worth", "zone lost")
	for i, size := range fleetSizes {
		for k, numbered := range []string{"no", "yes"} {
			v := results[i][k]
			r.Row(size.members, size.nodes, numbered, hundredths(v.parts), fmt.Sprintf("%.4f", v.jain), hundredths(v.connections), int(v.open), hundredths(v.trials),
				hundredths(v.coldPressure), v.fallen, fmt.Sprintf("%.3f", v.worth), fmt.Sprintf("%.3f", v.zoneWorth))
			if err := keepHeatMap(r, fmt.Sprintf("choices-%d-%s", size.members, numbered), size.nodes, v.load); err != nil {
				return err
			}
		}
		without, with := results[i][0], results[i][1]
		r.Aim(with.parts <= maxImbalance, "%d: the busiest node is sent %.2f times the mean", size.members, with.parts)
		r.Aim(with.connections <= maxImbalance, "%d: the busiest node holds %.2f times the connections of the mean", size.members, with.connections)
		r.Aim(with.trials <= maxImbalance, "%d: the node tried most is tried %.2f times as often as the mean", size.members, with.trials)
		r.Aim(with.fallen == 0, "%d: %d nodes pushed over", size.members, with.fallen)
		r.Aim(with.worth >= without.worth-maxWorthLoss, "%d: worth at work %.3f, %.3f without places", size.members, with.worth, without.worth)
		r.Key(fmt.Sprintf("busiest_%d", size.members), "%.2f", max(with.parts, with.connections, with.trials))
	}
	without, with := results[1][0], results[1][1]
	r.Key("connections", "%.2f", with.open/without.open)
	r.Key("zone", "%.3f", with.zoneWorth)
	r.Key("zone_gain", "%.2f", with.zoneWorth/without.zoneWorth)
	r.Aim(with.open <= maxConnections*without.open, "300: %.0f connections, %.0f without places", with.open, without.open)
	r.Aim(with.zoneWorth >= minZoneGain*without.zoneWorth, "300: worth with a zone lost %.3f, %.3f without places", with.zoneWorth, without.zoneWorth)
	return nil
}

func hundredths(x float64) string { return fmt.Sprintf("%.2f", x) }

// newFleet sets up a fleet of a size.
func (s fleetSize) newFleet(numbered bool) (*fleetsim.Fleet, error) {
	c := fleetsim.BusyConfig(s.members, s.nodes, nodesPerCell)
	c.KnowOrdinals = numbered
	return fleetsim.New(c)
}
