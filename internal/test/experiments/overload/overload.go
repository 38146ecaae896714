// Package overload is an experiment: a coordinator on two cores, in a process of its own, at one, two and three times its
// normal traffic, with overload control and without. What is beyond one time comes of one tenant, beyond its share. Slow nodes
// whose answers fill the memory follow.
package overload

import (
	"fmt"
	"time"

	"harepass/internal/test/experiment"
	"harepass/internal/test/loadgen"
)

// Experiment measures what normal traffic is on this machine and plays the rush.
var Experiment = experiment.Experiment{
	Name:  "overload",
	Short: "a coordinator on two cores at 1, 2 and 3 times its traffic, and before slow nodes, with control and without",
	Run:   run,
}

const (
	memoryMB    = 256
	probeRate   = 150.0  // queries a second at which the cost of a query is measured
	normalShare = 0.48   // of the cores, or of the loop if that is less, that normal traffic takes
	maxNormal   = 1000.0 // queries a second: what plays the clients has to keep up

	rushFactor = 3 // the traffic of the longest plays, which begin with normal traffic and go back to it
	rushBegin  = time.Second
	rushEnd    = 4500 * time.Millisecond
	rushLength = 7500 * time.Millisecond

	normalLevel = "normal" // as the guard's log has it
)

// The aims.
const (
	maxLoopWaitMS  = 50   // the 99th percentile
	minGain        = 1.2  // of the worth in the rush, over that of first come
	minNormalWorth = 0.99 // of the worth at normal traffic, over that of first come
	minHazards     = 0.99 // of the hazard reports within the shares, to be served in the rush
	normalWithin   = 2 * time.Second
)

func run(r *experiment.Report) error {
	normal, err := measureNormal()
	if err != nil {
		return err
	}
	r.Table("traffic", "control", "asked", "served", "refused", "late", "worth", "hazards", "loop p99 ms", "loop max ms", "cpu s", "level above normal until")
	e := results{normal: normal, outcomes: map[variant]*outcome{}}
	for _, factor := range factors {
		for _, controlled := range []bool{false, true} {
			v := variant{factor, controlled}
			o, err := playVariant(v, normal)
			if err != nil {
				return err
			}
			e.outcomes[v] = o
			if err := keep(r, v, o.Result); err != nil {
				return err
			}
			addRow(r, v, normal, o)
		}
	}
	e.checkWorth(r)
	e.checkFairness(r)
	e.checkAfterRush(r)
	if err := playSlowNodes(r); err != nil {
		return err
	}
	e.addKeys(r)
	return nil
}

// factors of normal traffic that are played.
var factors = []float64{1, 2, rushFactor}

// variant is one play.
type variant struct {
	factor     float64 // of normal traffic
	controlled bool    // or first come, first served
}

// measureNormal is what normal traffic is, in queries a second: it follows from what a query costs on this machine.
func measureNormal() (float64, error) {
	probe, err := play(config(10*probeRate, memoryMB, false), func(address string) *loadgen.Plan { return plan(address, probeRate, 2*time.Second) }, soundNodes)
	if err != nil {
		return 0, err
	}
	return min(maxNormal, normalShare*cores/(probe.CPUSeconds/float64(probe.Admitted))), nil
}

// playVariant plays a variant. What is beyond normal traffic comes of the flooder; the rush ends before the play does.
func playVariant(v variant, normal float64) (*outcome, error) {
	length, burst := 4*time.Second, loadgen.Burst{From: 0, To: time.Hour}
	if v.factor == rushFactor {
		length, burst = rushLength, loadgen.Burst{From: rushBegin, To: rushEnd}
	}
	burst.Tenant, burst.Factor = flooder, 1+(v.factor-1)/trafficShares[flooder]
	return play(config(normal, memoryMB, v.controlled), func(address string) *loadgen.Plan {
		p := plan(address, normal, length)
		p.Bursts = []loadgen.Burst{burst}
		return p
	}, soundNodes)
}

// keep writes a play's result where the user wants results kept.
func keep(r *experiment.Report, v variant, res *loadgen.Result) error {
	control := "first-come"
	if v.controlled {
		control = "controlled"
	}
	name := fmt.Sprintf("overload-%.0fx-%s", v.factor, control)
	path, kept := r.ResultPath(name + ".json")
	if !kept {
		return nil
	}
	res.Name = name
	return res.Write(path)
}

func addRow(r *experiment.Report, v variant, normal float64, o *outcome) {
	sum, hazards := total(o.Result), o.Classes[hazardReport]
	r.Row(fmt.Sprintf("%.0f x %.0f/s", v.factor, normal), v.controlled, sum.Arrived, sum.Served, sum.Rejected, sum.Late, fmt.Sprintf("%.3f", o.EarnedWeight/o.OfferedWeight),
		fmt.Sprintf("%.0f/%.0f", hazards.ServedWithinQuota, hazards.WithinQuota), fmt.Sprintf("%.1f", o.WaitP99MS), fmt.Sprintf("%.1f", o.WaitMaxMS),
		fmt.Sprintf("%.1f", o.CPUSeconds), normalSince(o.Stats.Levels))
}

// normalSince words when the level came back to normal; it is empty where it never left it.
func normalSince(levels []loadgen.LevelChange) string {
	since := ""
	for i, l := range levels {
		if l.Level == normalLevel {
			since = fmt.Sprintf("%.1f s", l.At)
		} else if i == len(levels)-1 {
			since = "the end"
		}
	}
	return since
}
