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
	slowMemoryMB    = 64
	slowAnswerBytes = 15 << 10 // of each section
	slowRate        = 150.0    // queries a second
	slowAnswerTime  = 4 * time.Second
	slowSection     = 0
)

// slowNodes hold large documents; one section answers late only.
func slowNodes() nodes {
	data := &fake.Data{}
	note := make([]byte, slowAnswerBytes)
	for i := range note {
		note[i] = 'a' + byte(i%26)
	}
	for s := range sections {
		data.Put(s, fake.Document{ID: fmt.Sprint("d", s), Fields: map[string]any{"note": string(note)}})
	}
	return nodes{data: data, script: func(section, _ int) fake.Reply {
		if section == slowSection {
			return fake.Reply{Kind: fake.Serve, After: slowAnswerTime}
		}
		return fake.Reply{Kind: fake.Serve, After: answerTime}
	}}
}

// summariesAndReports are the summaries, with a tenth of hazard reports.
func summariesAndReports(address string) *loadgen.Plan {
	p := plan(address, slowRate, 4*time.Second)
	summaries, reports := p.Classes[2], p.Classes[1]
	summaries.Share, reports.Share = 0.9, 0.1
	p.Classes = []loadgen.Class{summaries, reports}
	return p
}

// playSlowNodes has memory climb from slow nodes rather than from more arrivals: every answer of every section is held until
// the last one's time is over.
func playSlowNodes(r *experiment.Report) error {
	const limitMB = slowMemoryMB * coordinatorproc.HeapLimitShare
	slow := slowNodes()
	firstCome, err := play(config(10*slowRate, slowMemoryMB, false), summariesAndReports, slow)
	if err != nil {
		return err
	}
	addSlowRow(r, false, firstCome)
	controlled, err := play(config(10*slowRate, slowMemoryMB, true), summariesAndReports, slow)
	if err != nil {
		return err
	}
	addSlowRow(r, true, controlled)
	r.Expect(controlled.Lost == 0, "slow nodes: %d tries without a timely answer", controlled.Lost)
	r.Expect(controlled.LiveHeapMaxMB <= limitMB, "slow nodes: %.0f MB live, the limit is %.0f", controlled.LiveHeapMaxMB, limitMB)
	r.Expect(firstCome.LiveHeapMaxMB > limitMB, "slow nodes: first come has %.0f MB live only: the case is too easy", firstCome.LiveHeapMaxMB)
	r.Figure("slow_live_mb", "%.0f", controlled.LiveHeapMaxMB)
	r.Figure("slow_first_come_mb", "%.0f", firstCome.LiveHeapMaxMB)
	return nil
}

func addSlowRow(r *experiment.Report, controlled bool, o *outcome) {
	sum, hazards := total(o.Result), o.Classes[hazardReport]
	r.Row("slow nodes", controlled, sum.Arrived, sum.Served, sum.Rejected, o.Lost, fmt.Sprintf("%.3f", o.EarnedWeight/o.OfferedWeight),
		fmt.Sprintf("%.0f/%.0f", hazards.ServedWithinQuota, hazards.WithinQuota), fmt.Sprintf("%.1f", o.WaitP99MS), fmt.Sprintf("%.1f", o.WaitMaxMS),
		fmt.Sprintf("%.1f", o.CPUSeconds), fmt.Sprintf("%.0f MB live", o.LiveHeapMaxMB))
}
