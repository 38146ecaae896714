package loopsim

import (
	"math/rand/v2"
	"time"

	"harepass/internal/decide/overload"
)

const (
	// fullQueueRetryAfter is the Retry-After of an attempt that is rejected because the loop's queue is full.
	fullQueueRetryAfter = time.Second

	// minRate is the lowest rate, in queries per second, at which arrivals are drawn. Load.Rate is read again at each
	// arrival, so minRate limits how long a rate near 0 stays in use.
	minRate = 0.01
)

// attempt is one attempt of a client to get a query answered.
type attempt struct {
	at      time.Duration // instant of its arrival
	load    *Load
	firstAt time.Duration // arrival of the client's first attempt
	number  int           // 0 for the first attempt, then counted up with each retry
}

// drawFirstAttempts schedules the first attempt of every client. Each load draws from its own random stream.
func (r *run) drawFirstAttempts() {
	for i := range r.Loads {
		load := &r.Loads[i]
		rng := rand.New(rand.NewPCG(r.Seed, uint64(i)))
		for t := time.Duration(0); t < r.Duration; {
			rate := max(load.Rate(t), minRate)
			t += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			r.pending.Add(t, attempt{at: t, load: load, firstAt: t})
		}
	}
}

// arrive counts an attempt, and admits or rejects it. If the loop's queue is full, the attempt is rejected without a
// call of Admission.Admit.
func (r *run) arrive(a attempt) {
	tallies := r.result.tallies(a.load)
	r.result.countAttempt(a.at)
	if a.number == 0 {
		for _, t := range tallies {
			t.Arrived++
			t.OfferedWeight += a.load.PriorityWeight
		}
		r.arrivedWeights.Add(a.load.Tenant, a.at, a.load.PriorityWeight)
	}
	decision := overload.Decision{RetryAfter: fullQueueRetryAfter}
	if len(r.queue) < r.QueueLength {
		decision = r.admission.Admit(overload.Arrival{
			Class: a.load.Class, Tenant: a.load.Tenant, IsRepeat: a.number > 0, Parts: a.load.Parts,
		}, a.at)
	}
	if decision.Admitted {
		r.admit(a, tallies)
	} else {
		r.reject(a, decision.RetryAfter, tallies)
	}
}

// admit adds an attempt to the loop's queue, and counts the query as served or late. The latency is measured from the
// arrival of the admitted attempt, not of the client's first one.
func (r *run) admit(a attempt, tallies []*Tally) {
	end := r.enqueue(a)
	inTime := end-a.at <= r.LatencyObjective
	if inTime {
		r.servedWeights.Add(a.load.Tenant, a.firstAt, a.load.PriorityWeight)
	}
	for _, t := range tallies {
		if inTime {
			t.Served++
			t.EarnedWeight += a.load.PriorityWeight
		} else {
			t.Late++
		}
	}
}

// reject charges the loop for the rejection of an attempt, and schedules the client's retry. A query counts as rejected
// once its client stops retrying.
func (r *run) reject(a attempt, retryAfter time.Duration, tallies []*Tally) {
	r.result.countRejection(a.at)
	r.freeAt = r.work(max(r.freeAt, a.at), r.RejectionTime)
	if retryAt := a.at + retryAfter; a.number < r.Retries && retryAt < r.Duration {
		r.pending.Add(retryAt, attempt{at: retryAt, load: a.load, firstAt: a.firstAt, number: a.number + 1})
		return
	}
	for _, t := range tallies {
		t.Rejected++
	}
}
