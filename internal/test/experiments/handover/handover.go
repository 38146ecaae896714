package handover

import (
	"fmt"

	"harepass/internal/test/experiment"
)

// Experiment simulates the upgrade with several seeds.
var Experiment = experiment.Experiment{
	Name: "hand-over",
	Short: "a new version takes over while half of the nodes are cold, " +
		"with what the old one had learned and without; virtual time",
	Run: run,
}

const (
	seeds = 5

	// minGain is the least difference between the results with and without the learned state. The result is the share
	// of the lookups arriving after the upgrade that are answered within the latency objective.
	minGain = 0.05
)

// run simulates all seeds without and with the learned state, and reports the results.
func run(r *experiment.Report) error {
	r.Table("learned", "seed", "asked after", "in time before", "in time after", "worst on a cold node")
	without, err := simulateSeeds(r, false)
	if err != nil {
		return err
	}
	with, err := simulateSeeds(r, true)
	if err != nil {
		return err
	}
	r.Figure("anew", "%.3f", without)
	r.Figure("handed_on", "%.3f", with)
	r.Expect(with >= without+minGain, "in time after the upgrade: %.3f handed on, %.3f anew; %.2f more wanted",
		with, without, minGain)
	return nil
}

// simulateSeeds simulates all seeds and adds their table rows. It returns the mean share of the lookups arriving after
// the upgrade that were answered within the latency objective.
func simulateSeeds(r *experiment.Report, handOver bool) (inTime float64, err error) {
	learned := "anew"
	if handOver {
		learned = "handed on"
	}
	for seed := range uint64(seeds) {
		s, err := simulate(seed*2+1, handOver)
		if err != nil {
			return 0, fmt.Errorf("handover: simulate seed %d: %w", seed, err)
		}
		worst := s.greatestPressure()
		inTime += s.after.inTimeFraction() / seeds
		r.Row(learned, seed, s.after.arrived, fmt.Sprintf("%.3f", s.before.inTimeFraction()),
			fmt.Sprintf("%.3f", s.after.inTimeFraction()), fmt.Sprintf("%.2f", worst))
		r.Expect(worst < 1, "seed %d, handed on %t: a cold node fell, %.2f of what it takes", seed, handOver, worst)
	}
	return inTime, nil
}
