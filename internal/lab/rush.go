package lab

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"harepass/internal/decide/overload"
)

// This file emulates a coordinator's loop in virtual time: one server that does queries in the order in which they were
// admitted, before map nodes that always keep up. It shows what a controller does with a rush, the same every time.

// Gate is what refuses; overload.Controller is one, and FirstCome the baseline.
type Gate interface {
	Admit(a overload.Arrival, now time.Duration) overload.Decision
	Done(parts int)
	Look(s overload.Signals, now time.Duration) bool
	Window() time.Duration
}

// FirstCome admits all, as long as there is room in the queue.
type FirstCome struct{}

// Admit implements Gate.
func (FirstCome) Admit(overload.Arrival, time.Duration) overload.Decision {
	return overload.Decision{OK: true}
}

// Done implements Gate.
func (FirstCome) Done(int) {}

// Look implements Gate.
func (FirstCome) Look(overload.Signals, time.Duration) bool { return false }

// Window implements Gate.
func (FirstCome) Window() time.Duration { return 100 * time.Millisecond }

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

// Tally is what came of a kind of traffic.
type Tally struct {
	Asked, Served, Refused, Late float64 // queries; a client's retries belong to its first try
	Worth, Most                  float64 // by class, as if all lay within the shares
}

// quota counts a tenant's worth by seconds, for what goes beyond its share is worth little.
type quota map[string]map[int]*[2]float64 // queries and their worth

func (q quota) add(tenant string, at time.Duration, worth float64) {
	if q[tenant] == nil {
		q[tenant] = map[int]*[2]float64{}
	}
	second := int(at / time.Second)
	if q[tenant][second] == nil {
		q[tenant][second] = &[2]float64{}
	}
	q[tenant][second][0]++
	q[tenant][second][1] += worth
}

// sum is a tenant's worth, given its share in queries a second.
func (q quota) sum(tenant string, share float64) (worth float64) {
	for _, s := range q[tenant] {
		if over := s[0] - share; share > 0 && over > 0 {
			worth += s[1] * (share + over/20) / s[0]
		} else {
			worth += s[1]
		}
	}
	return worth
}

// RushResult is what came of a run.
type RushResult struct {
	ByClass, ByTenant map[string]*Tally
	Total             Tally
	Waits             []time.Duration // for the loop, in order of time
	At                []time.Duration // when each of them ended
	Tries             []int           // arrivals by tenths of a second, retries included
	Denied            []int           // and those of them refused
}

// Wait is a quantile of the waits for the loop between two instants.
func (r *RushResult) Wait(q float64, from, to time.Duration) time.Duration {
	var list []time.Duration
	for i, at := range r.At {
		if at >= from && at < to {
			list = append(list, r.Waits[i])
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

type try struct {
	at    time.Duration
	load  int
	first time.Duration
	no    int
	seq   int
}

type tries []try

func (h tries) Len() int { return len(h) }
func (h tries) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h tries) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *tries) Push(x any) { *h = append(*h, x.(try)) }

// Pop implements heap.Interface.
func (h *tries) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Play runs a rush against a gate.
func (r Rush) Play(g Gate) *RushResult {
	res := &RushResult{ByClass: map[string]*Tally{}, ByTenant: map[string]*Tally{}}
	res.Tries, res.Denied = make([]int, int(r.Time/(100*time.Millisecond))+1), make([]int, int(r.Time/(100*time.Millisecond))+1)
	asked, served := quota{}, quota{}
	var h tries
	seq := 0
	for i, l := range r.Loads {
		rng := rand.New(rand.NewPCG(r.Seed, uint64(i)))
		for t := time.Duration(0); t < r.Time; { // thinned at every step, so that rates may change
			rate := max(l.Rate(t), 0.01)
			t += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			h = append(h, try{at: t, load: i, first: t, seq: seq})
			seq++
		}
	}
	heap.Init(&h)
	type job struct {
		try
		end time.Duration
	}
	var queue []job
	free, look, busy := time.Duration(0), g.Window(), time.Duration(0)
	var sum time.Duration
	n := 0
	work := func(from time.Duration, span time.Duration) time.Duration { // when so much is done
		for r.Stall != nil && r.Stall(from) {
			from += time.Millisecond
		}
		busy += span
		return from + span
	}
	done := func(until time.Duration) {
		for len(queue) > 0 && queue[0].end <= until {
			j := queue[0]
			queue = queue[1:]
			g.Done(r.Loads[j.load].Parts)
		}
	}
	for h.Len() > 0 {
		next := heap.Pop(&h).(try)
		for look <= next.at {
			if r.Stall == nil || !r.Stall(look) {
				done(look)
				mean := time.Duration(0)
				if n > 0 {
					mean = sum / time.Duration(n)
				}
				if len(queue) > 0 { // what waits now waits so long at least
					mean = max(mean, look-queue[0].at)
				}
				g.Look(overload.Signals{Wait: mean, CPU: min(1, busy.Seconds()/g.Window().Seconds())}, look)
				sum, n, busy = 0, 0, 0
			}
			look += g.Window()
		}
		now, l := next.at, r.Loads[next.load]
		done(now)
		if i := int(now / (100 * time.Millisecond)); i < len(res.Tries) {
			res.Tries[i]++
		}
		tallies := []*Tally{tallyOf(res.ByClass, l.Class), tallyOf(res.ByTenant, l.Tenant), &res.Total}
		worth := l.Worth
		if next.no == 0 {
			for _, t := range tallies {
				t.Asked++
				t.Most += worth
			}
			asked.add(l.Tenant, now, worth)
		}
		d := overload.Decision{}
		if room := len(queue) < r.Queue; room {
			d = g.Admit(overload.Arrival{Class: l.Class, Tenant: l.Tenant, Retry: next.no > 0, Parts: l.Parts}, now)
		} else {
			d.RetryIn = time.Second
		}
		if !d.OK {
			if i := int(now / (100 * time.Millisecond)); i < len(res.Denied) {
				res.Denied[i]++
			}
			free = work(max(free, now), r.Refusal)
			if next.no < r.Retries && now+d.RetryIn < r.Time {
				seq++
				heap.Push(&h, try{at: now + d.RetryIn, load: next.load, first: next.first, no: next.no + 1, seq: seq})
				continue
			}
			for _, t := range tallies {
				t.Refused++
			}
			continue
		}
		begun := max(free, now)
		free = work(begun, r.Query+time.Duration(l.Parts)*r.Part)
		wait := max(0, free-now-r.Query-time.Duration(l.Parts)*r.Part)
		sum, n = sum+wait, n+1
		res.Waits, res.At = append(res.Waits, wait), append(res.At, now)
		queue = append(queue, job{next, free})
		if free-next.at <= r.Aim {
			served.add(l.Tenant, next.first, worth)
		}
		for _, t := range tallies {
			if free-next.at <= r.Aim { // the client's time is that of the try that was taken
				t.Served++
				t.Worth += worth
			} else {
				t.Late++
			}
		}
	}
	res.Total.Worth, res.Total.Most = 0, 0
	for tenant, t := range res.ByTenant {
		t.Worth, t.Most = served.sum(tenant, r.Shares[tenant]), asked.sum(tenant, r.Shares[tenant])
		res.Total.Worth += t.Worth
		res.Total.Most += t.Most
	}
	return res
}

func tallyOf(m map[string]*Tally, name string) *Tally {
	t := m[name]
	if t == nil {
		t = &Tally{}
		m[name] = t
	}
	return t
}
