package overload

import (
	"fmt"
	"time"

	"harepass/internal/test/coordinatorproc"
	"harepass/internal/test/experiment"
	"harepass/internal/test/fake"
	"harepass/internal/test/loadgen"
)

const (
	slowMemoryMB    = 64              // memory of the coordinator's process
	slowAnswerBytes = 15 << 10        // size of one shard's answer
	slowRate        = 150.0           // queries per second
	slowDuration    = 4 * time.Second // duration of each run
	slowAnswerTime  = 4 * time.Second // answer time for slowShard
	slowShard       = 0               // the shard for which all replicas answer late

	slowSummaryShare = 0.9 // share of the queries that are summaries; the others are hazard reports
)

// slowReplicas returns replicas that hold large documents and answer late for slowShard.
func slowReplicas() replicas {
	data := &fake.Data{}
	note := make([]byte, slowAnswerBytes)
	for i := range note {
		note[i] = 'a' + byte(i%26)
	}
	for s := range shards {
		data.Put(s, fake.Document{ID: fmt.Sprint("d", s), Fields: map[string]any{"note": string(note)}})
	}
	return replicas{data: data, script: func(shard, _ int) fake.Reply {
		if shard == slowShard {
			return fake.Reply{Kind: fake.Serve, After: slowAnswerTime}
		}
		return fake.Reply{Kind: fake.Serve, After: answerTime}
	}}
}

// summariesAndReports returns a plan with mostly summaries and a few hazard reports.
func summariesAndReports(address string) *loadgen.Plan {
	p := plan(address, slowRate, slowDuration)
	var classes []loadgen.Class
	for _, share := range []struct {
		class string
		share float64
	}{{conditionsSummary, slowSummaryShare}, {hazardReport, 1 - slowSummaryShare}} {
		for _, c := range p.Classes {
			if c.Name == share.class {
				c.Share = share.share
				classes = append(classes, c)
			}
		}
	}
	p.Classes = classes
	return p
}

// runSlowReplicas runs traffic at a steady rate with slow replicas, without and with overload control. The memory fills
// although the query rate does not rise, because the coordinator holds the answers of all shards until the slow
// shard's deadline has passed.
func runSlowReplicas(r *experiment.Report) error {
	const limitMB = slowMemoryMB * coordinatorproc.HeapLimitShare
	slow := slowReplicas()
	firstCome, err := runPlan(config(10*slowRate, slowMemoryMB, false), summariesAndReports, slow)
	if err != nil {
		return err
	}
	addSlowRow(r, false, firstCome)
	controlled, err := runPlan(config(10*slowRate, slowMemoryMB, true), summariesAndReports, slow)
	if err != nil {
		return err
	}
	addSlowRow(r, true, controlled)
	r.Expect(controlled.Lost == 0, "slow nodes: %d tries without a timely answer", controlled.Lost)
	r.Expect(controlled.LiveHeapMaxMB <= limitMB, "slow nodes: %.0f MB live, the limit is %.0f",
		controlled.LiveHeapMaxMB, limitMB)
	r.Expect(firstCome.LiveHeapMaxMB > limitMB, "slow nodes: first come has %.0f MB live only: the case is too easy",
		firstCome.LiveHeapMaxMB)
	r.Figure("slow_live_mb", "%.0f", controlled.LiveHeapMaxMB)
	r.Figure("slow_first_come_mb", "%.0f", firstCome.LiveHeapMaxMB)
	return nil
}

func addSlowRow(r *experiment.Report, controlled bool, o *outcome) {
	o.addRow(r, "slow nodes", controlled, o.Lost, fmt.Sprintf("%.0f MB live", o.LiveHeapMaxMB))
}
