package overload

import (
	"fmt"
	"time"

	"harepass/internal/test/experiment"
	"harepass/internal/test/loadgen"
)

// Experiment finds out what normal traffic is on this machine and plays its multiples.
var Experiment = experiment.Experiment{
	Name: "overload",
	Short: "a coordinator on two cores at 1, 2 and 3 times its traffic, and before slow nodes, " +
		"with control and without",
	Run: run,
}

const (
	memoryMB = 256 // memory of the coordinator's process

	probeRate      = 150.0           // queries a second at which the cost of a query is determined
	probeDuration  = 2 * time.Second // of the play that determines it
	normalCPUShare = 0.48            // share of the cores that normal traffic takes
	maxNormalRate  = 1000.0          // queries a second that the clients' side can send

	steadyDuration = 4 * time.Second // of the plays with steady traffic

	// The play with rushFactor begins and ends with normal traffic.
	rushFactor   = 3
	rushBegin    = time.Second
	rushEnd      = 4500 * time.Millisecond
	rushDuration = 7500 * time.Millisecond
)

// trafficFactors are the multiples of normal traffic that are played.
var trafficFactors = []float64{1, 2, rushFactor}

// variant is one play.
type variant struct {
	factor     float64 // multiple of normal traffic
	controlled bool    // with overload control; otherwise first come, first served
}

// run plays all variants and reports them.
func run(r *experiment.Report) error {
	normalRate, err := findNormalRate()
	if err != nil {
		return err
	}
	r.Table("traffic", "control", "asked", "served", "refused", "late", "worth", "hazards", "loop p99 ms",
		"loop max ms", "cpu s", "level above normal until")
	e := results{normalRate: normalRate, outcomes: map[variant]*outcome{}}
	for _, factor := range trafficFactors {
		for _, controlled := range []bool{false, true} {
			v := variant{factor, controlled}
			o, err := playVariant(v, normalRate)
			if err != nil {
				return fmt.Errorf("overload: %.0f times normal traffic: %w", factor, err)
			}
			e.outcomes[v] = o
			if err := writeResult(r, v, o.Result); err != nil {
				return err
			}
			addRow(r, v, normalRate, o)
		}
	}
	e.judgeWeight(r)
	e.judgeFairness(r)
	e.judgeRecovery(r)
	if err := playSlowReplicas(r); err != nil {
		return fmt.Errorf("overload: slow replicas: %w", err)
	}
	e.addFigures(r)
	return nil
}

// findNormalRate returns what normal traffic is, in queries a second. It follows from the CPU time that a query costs
// on this machine.
func findNormalRate() (float64, error) {
	probe, err := play(config(10*probeRate, memoryMB, false), func(address string) *loadgen.Plan {
		return plan(address, probeRate, probeDuration)
	}, fastReplicas)
	if err != nil {
		return 0, fmt.Errorf("overload: cost of a query: %w", err)
	}
	return min(maxNormalRate, normalCPUShare*cores/(probe.CPUSeconds/float64(probe.Admitted))), nil
}

// playVariant plays a variant. What is beyond normal traffic comes from the flooding tenant.
func playVariant(v variant, normalRate float64) (*outcome, error) {
	duration, burst := steadyDuration, loadgen.Burst{From: 0, To: time.Hour}
	if v.factor == rushFactor {
		duration, burst = rushDuration, loadgen.Burst{From: rushBegin, To: rushEnd}
	}
	burst.Tenant, burst.Factor = floodingTenant, 1+(v.factor-1)/trafficShares[floodingTenant]
	return play(config(normalRate, memoryMB, v.controlled), func(address string) *loadgen.Plan {
		p := plan(address, normalRate, duration)
		p.Bursts = []loadgen.Burst{burst}
		return p
	}, fastReplicas)
}

// writeResult writes a play's result where files of results are wanted.
func writeResult(r *experiment.Report, v variant, res *loadgen.Result) error {
	control := "first-come"
	if v.controlled {
		control = "controlled"
	}
	name := fmt.Sprintf("overload-%.0fx-%s", v.factor, control)
	path, wanted := r.ResultPath(name + ".json")
	if !wanted {
		return nil
	}
	res.Name = name
	return res.Write(path)
}

func addRow(r *experiment.Report, v variant, normalRate float64, o *outcome) {
	o.addRow(r, fmt.Sprintf("%.0f x %.0f/s", v.factor, normalRate), v.controlled, o.total().Late,
		normalSince(o.Stats.Levels))
}

// addRow adds a play's row. The column of late queries has late, and the last column has remark.
func (o *outcome) addRow(r *experiment.Report, traffic string, controlled bool, late int, remark string) {
	total, hazards := o.total(), o.Classes[hazardReport]
	r.Row(traffic, controlled, total.Arrived, total.Served, total.Rejected, late,
		fmt.Sprintf("%.3f", o.EarnedWeight/o.OfferedWeight),
		fmt.Sprintf("%.0f/%.0f", hazards.ServedWithinQuota, hazards.WithinQuota),
		fmt.Sprintf("%.1f", o.WaitP99MS), fmt.Sprintf("%.1f", o.WaitMaxMS), fmt.Sprintf("%.1f", o.CPUSeconds), remark)
}

// normalSince words when the level came back to normal. It is empty if the level never left normal.
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
