package overload

import (
	"fmt"
	"time"

	"harepass/internal/test/experiment"
	"harepass/internal/test/loadgen"
)

// Experiment determines the normal traffic rate for this machine and runs multiples of that traffic.
var Experiment = experiment.Experiment{
	Name: "overload",
	Short: "a coordinator on two cores at 1, 2 and 3 times its traffic, and before slow nodes, " +
		"with control and without",
	Run: run,
}

const (
	memoryMB = 256 // memory of the coordinator's process

	probeRate      = 150.0           // queries per second while the CPU time of a query is measured
	probeDuration  = 2 * time.Second // duration of that measurement
	normalCPUShare = 0.48            // share of the cores that normal traffic uses
	maxNormalRate  = 1000.0          // queries per second that the clients can send

	steadyDuration = 4 * time.Second // duration of the runs with steady traffic

	// In the run with rushFactor, the rush lasts from rushBegin to rushEnd; traffic is normal before and after it.
	rushFactor   = 3
	rushBegin    = time.Second
	rushEnd      = 4500 * time.Millisecond
	rushDuration = 7500 * time.Millisecond
)

// trafficFactors are the multiples of normal traffic that the experiment runs.
var trafficFactors = []float64{1, 2, rushFactor}

// variant identifies one run.
type variant struct {
	factor     float64 // multiple of normal traffic
	controlled bool    // whether overload control is on; otherwise first come, first served
}

// run runs all variants and the slow replicas, and reports the results.
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
			o, err := runVariant(v, normalRate)
			if err != nil {
				return fmt.Errorf("overload: run %.0f times normal traffic: %w", factor, err)
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
	if err := runSlowReplicas(r); err != nil {
		return fmt.Errorf("overload: run with slow replicas: %w", err)
	}
	e.addFigures(r)
	return nil
}

// findNormalRate returns the rate of normal traffic in queries per second. The rate follows from the measured CPU time
// of a query on this machine.
func findNormalRate() (float64, error) {
	probe, err := runPlan(config(10*probeRate, memoryMB, false), func(address string) *loadgen.Plan {
		return plan(address, probeRate, probeDuration)
	}, fastReplicas)
	if err != nil {
		return 0, fmt.Errorf("overload: measure the CPU time of a query: %w", err)
	}
	return min(maxNormalRate, normalCPUShare*cores/(probe.CPUSeconds/float64(probe.Admitted))), nil
}

// runVariant runs a variant. The flooding tenant sends all traffic above normal.
func runVariant(v variant, normalRate float64) (*outcome, error) {
	duration, burst := steadyDuration, loadgen.Burst{From: 0, To: time.Hour}
	if v.factor == rushFactor {
		duration, burst = rushDuration, loadgen.Burst{From: rushBegin, To: rushEnd}
	}
	burst.Tenant, burst.Factor = floodingTenant, 1+(v.factor-1)/trafficShares[floodingTenant]
	return runPlan(config(normalRate, memoryMB, v.controlled), func(address string) *loadgen.Plan {
		p := plan(address, normalRate, duration)
		p.Bursts = []loadgen.Burst{burst}
		return p
	}, fastReplicas)
}

// writeResult writes the result of a run if result files are wanted.
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

// addRow adds the table row of a run, with late in the column of late queries and remark in the last column.
func (o *outcome) addRow(r *experiment.Report, traffic string, controlled bool, late int, remark string) {
	total, hazards := o.total(), o.Classes[hazardReport]
	r.Row(traffic, controlled, total.Arrived, total.Served, total.Rejected, late,
		fmt.Sprintf("%.3f", o.EarnedWeight/o.OfferedWeight),
		fmt.Sprintf("%.0f/%.0f", hazards.ServedWithinQuota, hazards.WithinQuota),
		fmt.Sprintf("%.1f", o.WaitP99MS), fmt.Sprintf("%.1f", o.WaitMaxMS), fmt.Sprintf("%.1f", o.CPUSeconds), remark)
}

// normalSince returns the time of the last return to the normal level as text, or "the end" if the run ends at another
// level. It returns "" if the level never left normal.
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
