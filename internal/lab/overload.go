package lab

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"slices"
	"time"

	"harepass"
	"harepass/internal/core"
	"harepass/internal/opensearch"
	"harepass/internal/standin"
)

// The overload experiment: a coordinator on two cores, in a process of its own, at one, two and three times its normal
// traffic, with overload control and without. What is beyond one time comes of one tenant, beyond its share.
const (
	ovSections = 24
	ovNodes    = 6
	ovCores    = 2
	ovMemory   = 256
	ovTarget   = 10 * time.Millisecond
	ovAnswer   = 3 * time.Millisecond // of the nodes, which always keep up
	ovProbe    = 150.0                // queries a second at which the cost of a query is measured
	ovBusy     = 0.48                 // of the cores, or of the loop if that is less, that normal traffic takes
	ovMost     = 1000.0               // queries a second: what plays the clients has to keep up
	ovFlooder  = "momiji-dake"
)

var ovShares = map[string]float64{"kitakaze": 0.42, "shirakaba-yama": 0.41, ovFlooder: 0.17}

// ovSettings are the Co-operative's classes, with shares a tenth over normal traffic.
func ovSettings(normal float64) harepass.Settings {
	s := harepass.Settings{Roots: 1, Cells: ovNodes, Reach: 3, CallBatch: 1, Turn: 5 * time.Millisecond, MaxAttempts: 4, Cancel: true,
		RetryAdvice: time.Second, OverShareWorth: 0.05, Classes: []harepass.Class{
			{Name: "route-lookup", Aim: 1500 * time.Millisecond, Deadline: 3 * time.Second, Worth: 1, LateWorth: 0.3, Need: 1, Floor: 1},
			{Name: "hazard-report", Aim: 1500 * time.Millisecond, Deadline: 5 * time.Second, Worth: 2, LateWorth: 0.1, Need: 1, Floor: 1, Repeat: harepass.SingleShot},
			{Name: "conditions-summary", Aim: 1500 * time.Millisecond, Deadline: 5 * time.Second, Worth: 3, LateWorth: 0.3, Need: 1, Floor: 0.7}}}
	for _, name := range slices.Sorted(maps.Keys(ovShares)) {
		s.Tenants = append(s.Tenants, harepass.Tenant{Name: name, Quota: 1.1 * normal * ovShares[name]})
	}
	return s
}

func ovPlan(target string, rate float64, length time.Duration) *LoadPlan {
	p := &LoadPlan{Target: "http://" + target, Time: length, Rate: rate, Seed: 1, Retries: 2, Classes: []LoadClass{
		{Name: "route-lookup", Share: 0.55, Index: "trails", Sections: 8, Of: ovSections, Worth: 1, Aim: 1500 * time.Millisecond, Timeout: 3 * time.Second},
		{Name: "hazard-report", Share: 0.225, Index: "hazards", Report: true, Of: ovSections, Worth: 2, Aim: 1500 * time.Millisecond, Timeout: 3 * time.Second},
		{Name: "conditions-summary", Share: 0.225, Index: "conditions", Of: ovSections, Worth: 3, Aim: 1500 * time.Millisecond, Timeout: 3 * time.Second}}}
	for _, name := range slices.Sorted(maps.Keys(ovShares)) {
		p.Tenants = append(p.Tenants, LoadTenant{Name: name, Caller: name, Share: ovShares[name], Quota: 1.1 * rate * ovShares[name]})
	}
	return p
}

// ovPlay plays a plan against a coordinator. script and data are the nodes'.
func ovPlay(p Process, plan func(target string) *LoadPlan, script func(shard, try int) standin.Reply, data *standin.Data) (*LoadResult, *Stats, error) {
	p.Sections = ovSections
	p.Indices = map[string]*opensearch.Index{"trails": {Class: "route-lookup"}, "hazards": {Class: "hazard-report", Reports: true}, "conditions": {Class: "conditions-summary"}}
	p.Callers = map[string]string{}
	for name := range ovShares {
		p.Callers[name] = name
	}
	for i := range ovNodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, err
		}
		defer l.Close()
		go (&standin.Fleet{Script: script, Data: data}).API(l)
		id := fmt.Sprint("node", i)
		p.Nodes = append(p.Nodes, core.Node{Replica: harepass.Replica{ID: id, Cell: i}, Address: l.Addr().String(), Scheme: opensearch.Scheme})
	}
	r, err := p.Start()
	if err != nil {
		return nil, nil, err
	}
	res, err := plan(r.Address).Run(context.Background(), nil)
	stats, stopped := r.Stop()
	if err = errors.Join(err, stopped); err != nil {
		return nil, nil, err
	}
	res.Levels, res.Waits = stats.Levels, stats.Waits
	return res, stats, nil
}

func ovServe(shard, _ int) standin.Reply { return standin.Reply{Kind: standin.Serve, After: ovAnswer} }

// OverloadExperiment plays the rush.
var OverloadExperiment = Experiment{
	Name:  "overload",
	Short: "a coordinator on two cores at 1, 2 and 3 times its traffic, and before slow nodes, with control and without",
	Run:   runOverload,
}

// keep writes a load's result where the user wants results kept.
func keep(r *Report, name string, res *LoadResult) error {
	path, kept := r.KeepPath(name + ".json")
	if !kept {
		return nil
	}
	res.Name = name
	return res.Write(path)
}

func runOverload(r *Report) error {
	// What normal is follows from what a query costs on this machine.
	_, probe, err := ovPlay(Process{Settings: ovSettings(10 * ovProbe), Cores: ovCores, MemoryMB: ovMemory},
		func(t string) *LoadPlan { return ovPlan(t, ovProbe, 2*time.Second) }, ovServe, nil)
	if err != nil {
		return err
	}
	normal := min(ovMost, ovBusy*ovCores/(probe.CPU/float64(probe.Admitted)))
	r.Table("traffic", "control", "asked", "served", "refused", "late", "worth", "hazards", "loop p99 ms", "loop max ms", "cpu s", "level above normal until")
	type outcome struct {
		*LoadResult
		*Stats
	}
	runs := map[string]outcome{}
	for _, factor := range []float64{1, 2, 3} {
		for _, on := range []bool{false, true} {
			p := Process{Settings: ovSettings(normal), Cores: ovCores, MemoryMB: ovMemory}
			if on {
				p.Target = ovTarget
			}
			length, burst := 4*time.Second, Burst{From: 0, To: time.Hour}
			if factor == 3 { // and back to normal
				length, burst = 7500*time.Millisecond, Burst{From: time.Second, To: 4500 * time.Millisecond}
			}
			burst.Tenant, burst.Factor = ovFlooder, 1+(factor-1)/ovShares[ovFlooder]
			res, stats, err := ovPlay(p, func(t string) *LoadPlan {
				plan := ovPlan(t, normal, length)
				plan.Bursts = []Burst{burst}
				return plan
			}, ovServe, nil)
			if err != nil {
				return err
			}
			runs[fmt.Sprint(factor, on)] = outcome{res, stats}
			if err := keep(r, fmt.Sprintf("overload-%.0fx-%s", factor, map[bool]string{false: "first-come", true: "controlled"}[on]), res); err != nil {
				return err
			}
			above := ""
			for i, l := range stats.Levels {
				if l.Level == "normal" {
					above = fmt.Sprintf("%.1f s", l.At)
				} else if i == len(stats.Levels)-1 {
					above = "the end"
				}
			}
			asked, served, refused, late := 0, 0, 0, 0
			for _, c := range res.Classes {
				asked, served, refused, late = asked+c.Asked, served+c.Served, refused+c.Refused, late+c.Late
			}
			hz := res.Classes["hazard-report"]
			r.Row(fmt.Sprintf("%.0f x %.0f/s", factor, normal), on, asked, served, refused, late, fmt.Sprintf("%.3f", res.Worth/res.Most),
				fmt.Sprintf("%.0f/%.0f", hz.WithinServed, hz.Within), fmt.Sprintf("%.1f", stats.Wait99MS), fmt.Sprintf("%.1f", stats.WaitMaxMS),
				fmt.Sprintf("%.1f", stats.CPU), above)
		}
	}
	one, three, plain := runs["1 true"], runs["3 true"], runs["3 false"]
	gain := three.Worth / math.Max(plain.Worth, 1e-9)
	hz := three.Classes["hazard-report"]
	kept := hz.WithinServed / math.Max(1, hz.Within)
	r.Aim(three.Wait99MS < 50, "the loop's p99 at three times is %.1f ms, under 50 wanted", three.Wait99MS)
	r.Aim(gain >= 1.2, "worth at three times is %.2f of first come's, 1.2 wanted", gain)
	r.Aim(one.Worth >= 0.99*runs["1 false"].Worth, "worth at one time is %.3f, first come's %.3f", one.Worth/one.Most, runs["1 false"].Worth/runs["1 false"].Most)
	r.Aim(kept >= 0.99, "%.3f of the hazard reports within their share served, 0.99 wanted", kept)
	lost := 0
	for _, f := range []string{"1", "2", "3"} {
		lost += runs[f+" true"].Lost
	}
	r.Aim(lost == 0, "%d tries without a timely answer", lost)
	flooder := three.Tenants[ovFlooder]
	unfair := 0.0
	for name, t := range three.Tenants {
		if name != ovFlooder {
			unfair = max(unfair, float64(t.Refused)/float64(t.Asked)-float64(flooder.Refused)/float64(flooder.Asked))
		}
	}
	r.Aim(unfair <= 0, "a tenant within its share was refused %.3f more than the one beyond it", unfair)
	tries, again := 0, 0
	for _, s := range three.Slices[65:75] {
		tries, again = tries+s.Tries, again+s.Refused
	}
	r.Aim(again*20 <= tries && float64(tries) < 2.5*normal, "%d of %d tries refused in a second, two after the rush: who was refused comes back too soon", again, tries)
	normalAt, last := time.Hour.Seconds(), ""
	for _, l := range three.Stats.Levels {
		if last = l.Level; l.Level == "normal" && l.At > 4.5 {
			normalAt = min(normalAt, l.At)
		}
	}
	r.Aim(normalAt < 6.5 && last == "normal", "levels %v: normal wanted within 2 s after 4.5 s, and at the end", three.Stats.Levels)
	if err := ovSlowNodes(r); err != nil {
		return err
	}
	r.Key("normal", "%.0f/s", normal)
	r.Key("gain_at_3", "%.2f", gain)
	r.Key("worth_at_1", "%.3f", one.Worth/one.Most)
	r.Key("loop_p99_ms", "%.1f", three.Wait99MS)
	r.Key("first_come_p99_ms", "%.1f", plain.Wait99MS)
	r.Key("hazards", "%.3f", kept)
	r.Key("tries_after", "%.2f", float64(tries)/normal)
	r.Key("refused_after", "%d", again)
	r.Key("lost", "%d", lost)
	return nil
}

const (
	slowMemory = 64 // MB; of them the collector has 38
	slowBytes  = 15 << 10
	slowRate   = 150.0
)

// ovSlowNodes has memory climb from slow nodes rather than from more arrivals: every answer of every section is held until
// the last one's time is over.
func ovSlowNodes(r *Report) error {
	data := &standin.Data{}
	note := make([]byte, slowBytes)
	for i := range note {
		note[i] = 'a' + byte(i%26)
	}
	for s := range ovSections {
		data.Put(s, standin.Doc{ID: fmt.Sprint("d", s), Fields: map[string]any{"note": string(note)}})
	}
	script := func(shard, _ int) standin.Reply {
		if shard == 0 {
			return standin.Reply{Kind: standin.Serve, After: 4 * time.Second}
		}
		return standin.Reply{Kind: standin.Serve, After: ovAnswer}
	}
	var live [2]float64
	for i, on := range []bool{false, true} {
		p := Process{Settings: ovSettings(10 * slowRate), Cores: ovCores, MemoryMB: slowMemory}
		if on {
			p.Target = ovTarget
		}
		res, stats, err := ovPlay(p, func(t string) *LoadPlan {
			plan := ovPlan(t, slowRate, 4*time.Second)
			plan.Classes = []LoadClass{plan.Classes[2], plan.Classes[1]}
			plan.Classes[0].Share, plan.Classes[1].Share = 0.9, 0.1
			return plan
		}, script, data)
		if err != nil {
			return err
		}
		s, hz := res.Classes["conditions-summary"], res.Classes["hazard-report"]
		r.Row("slow nodes", on, s.Asked+hz.Asked, s.Served+hz.Served, s.Refused+hz.Refused, res.Lost, fmt.Sprintf("%.3f", res.Worth/res.Most),
			fmt.Sprintf("%.0f/%.0f", hz.WithinServed, hz.Within), fmt.Sprintf("%.1f", stats.Wait99MS), fmt.Sprintf("%.1f", stats.WaitMaxMS),
			fmt.Sprintf("%.1f", stats.CPU), fmt.Sprintf("%.0f MB live", stats.LiveMB))
		live[i] = stats.LiveMB
		r.Aim(!on || res.Lost == 0, "slow nodes: %d tries without a timely answer", res.Lost)
	}
	r.Aim(live[1] <= slowMemory*memoryShare, "slow nodes: %.0f MB live, the limit is %.0f", live[1], slowMemory*memoryShare)
	r.Aim(live[0] > slowMemory*memoryShare, "slow nodes: first come has %.0f MB live only: the case is too easy", live[0])
	r.Key("slow_live_mb", "%.0f", live[1])
	r.Key("slow_first_come_mb", "%.0f", live[0])
	return nil
}
