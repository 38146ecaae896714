// Package loopsim emulates a coordinator's loop in virtual time: one server that does queries in the order in which they
// were admitted, before map nodes that always keep up. It shows what a controller does with a rush, the same every time.
package loopsim

import (
	"math/rand/v2"
	"time"

	"harepass/internal/decide/overload"
	"harepass/internal/test/quotaledger"
	"harepass/internal/test/virtualtime"
)

// Gate is what refuses; overload.Controller is one, and FirstCome the baseline.
type Gate interface {
	Admit(a overload.Arrival, now time.Duration) overload.Decision
	QueryDone(parts int)
	Observe(s overload.Signals, now time.Duration) bool
	Interval() time.Duration
}

// FirstCome admits all, as long as there is room in the queue.
type FirstCome struct{}

// Admit implements Gate.
func (FirstCome) Admit(overload.Arrival, time.Duration) overload.Decision {
	return overload.Decision{Admitted: true}
}

// QueryDone implements Gate.
func (FirstCome) QueryDone(int) {}

// Observe implements Gate.
func (FirstCome) Observe(overload.Signals, time.Duration) bool { return false }

// Interval implements Gate.
func (FirstCome) Interval() time.Duration { return 100 * time.Millisecond }

// Load is one kind of traffic: what a tenant sends of a class. Rate is in queries a second, at any time.
type Load struct {
	Class, Tenant string
	Parts         int
	Worth         float64 // of each query
	Rate          func(t time.Duration) float64
}

// Rush is a run of the emulated loop.
type Rush struct {
	Loads   []Load
	Time    time.Duration
	Seed    uint64
	Retries int                        // of a refused client, after the time it was told
	Stall   func(t time.Duration) bool // whether the whole process stands still; nil for never
	Aim     time.Duration
	Query   time.Duration // what the loop spends on a query, a part of it, a refusal
	Part    time.Duration
	Refusal time.Duration
	Queue   int                // room for queries that wait for the loop; beyond it all are refused
	Shares  map[string]float64 // of the tenants, in queries a second; what is beyond them is worth a twentieth
}

// noRoomRetry is when a client is told to come back that found the queue full.
const noRoomRetry = time.Second

// try is one try of a client.
type try struct {
	at     time.Duration
	load   *Load
	first  time.Duration // when the client tried first
	number int           // 0 for the first one
}

// job is a try that was admitted.
type job struct {
	try
	end time.Duration // when the loop has done it
}

// run is a Rush that is being played.
type run struct {
	Rush
	gate    Gate
	result  *Result
	pending virtualtime.Queue[try]
	queue   []job
	free    time.Duration // when the loop has done what was admitted

	look    time.Duration // when the gate looks at its signals next
	busy    time.Duration // that the loop has worked since it looked last
	waits   time.Duration // of the tries admitted since then, in sum
	waiters int           // how many these are

	asked, served quotaledger.Ledger
}

// Play runs a rush against a gate.
func (r Rush) Play(g Gate) *Result {
	p := &run{Rush: r, gate: g, result: newResult(r.Time), look: g.Interval(), asked: quotaledger.Ledger{}, served: quotaledger.Ledger{}}
	p.drawFirstTries()
	for p.pending.Len() > 0 {
		_, next := p.pending.Pop()
		for ; p.look <= next.at; p.look += g.Interval() {
			if r.Stall == nil || !r.Stall(p.look) {
				p.lookAtSignals()
			}
		}
		p.finish(next.at)
		p.arrive(next)
	}
	p.sumUp()
	return p.result
}

// drawFirstTries schedules the first try of every client.
func (p *run) drawFirstTries() {
	for i := range p.Loads {
		load := &p.Loads[i]
		rng := rand.New(rand.NewPCG(p.Seed, uint64(i)))
		for t := time.Duration(0); t < p.Time; { // thinned at every step, so that rates may change
			rate := max(load.Rate(t), 0.01)
			t += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			p.pending.Add(t, try{at: t, load: load, first: t})
		}
	}
}

// lookAtSignals has the gate look at the waits and the work since it did so last.
func (p *run) lookAtSignals() {
	p.finish(p.look)
	wait := time.Duration(0)
	if p.waiters > 0 {
		wait = p.waits / time.Duration(p.waiters)
	}
	if len(p.queue) > 0 { // what waits now waits so long at least
		wait = max(wait, p.look-p.queue[0].at)
	}
	p.gate.Observe(overload.Signals{MeanWait: wait, CoresUsed: min(1, p.busy.Seconds()/p.gate.Interval().Seconds())}, p.look)
	p.waits, p.waiters, p.busy = 0, 0, 0
}

// finish tells the gate of the jobs that are done by an instant.
func (p *run) finish(until time.Duration) {
	for len(p.queue) > 0 && p.queue[0].end <= until {
		p.gate.QueryDone(p.queue[0].load.Parts)
		p.queue = p.queue[1:]
	}
}

// work has the loop do something from an instant on, and returns when it is done.
func (p *run) work(from, span time.Duration) time.Duration {
	for p.Stall != nil && p.Stall(from) {
		from += time.Millisecond
	}
	p.busy += span
	return from + span
}

// arrive books a try and has it admitted or refused.
func (p *run) arrive(t try) {
	tallies := p.result.tallies(t.load)
	p.result.countTry(t.at)
	if t.number == 0 {
		for _, tally := range tallies {
			tally.Asked++
			tally.Most += t.load.Worth
		}
		p.asked.Add(t.load.Tenant, t.at, t.load.Worth)
	}
	decision := overload.Decision{RetryAfter: noRoomRetry}
	if len(p.queue) < p.Queue {
		decision = p.gate.Admit(overload.Arrival{Class: t.load.Class, Tenant: t.load.Tenant, IsRepeat: t.number > 0, Parts: t.load.Parts}, t.at)
	}
	if decision.Admitted {
		p.admit(t, tallies)
	} else {
		p.refuse(t, decision.RetryAfter, tallies)
	}
}

func (p *run) admit(t try, tallies []*Tally) {
	span := p.Query + time.Duration(t.load.Parts)*p.Part
	p.free = p.work(max(p.free, t.at), span)
	wait := max(0, p.free-t.at-span)
	p.waits, p.waiters = p.waits+wait, p.waiters+1
	p.result.Waits, p.result.At = append(p.result.Waits, wait), append(p.result.At, t.at)
	p.queue = append(p.queue, job{t, p.free})
	inTime := p.free-t.at <= p.Aim // the client's time is that of the try that was taken
	if inTime {
		p.served.Add(t.load.Tenant, t.first, t.load.Worth)
	}
	for _, tally := range tallies {
		if inTime {
			tally.Served++
			tally.Worth += t.load.Worth
		} else {
			tally.Late++
		}
	}
}

func (p *run) refuse(t try, retryIn time.Duration, tallies []*Tally) {
	p.result.countDenied(t.at)
	p.free = p.work(max(p.free, t.at), p.Refusal)
	if t.number < p.Retries && t.at+retryIn < p.Time {
		p.pending.Add(t.at+retryIn, try{at: t.at + retryIn, load: t.load, first: t.first, number: t.number + 1})
		return
	}
	for _, tally := range tallies {
		tally.Refused++
	}
}

// sumUp gives the tenants, and the total, the worth of what lies within the shares.
func (p *run) sumUp() {
	total := &p.result.Total
	total.Worth, total.Most = 0, 0
	for tenant, tally := range p.result.ByTenant {
		tally.Worth, tally.Most = p.served.Sum(tenant, p.Shares[tenant]), p.asked.Sum(tenant, p.Shares[tenant])
		total.Worth += tally.Worth
		total.Most += tally.Most
	}
}
