package loopsim

import (
	"time"

	"harepass/internal/decide/overload"
	"harepass/internal/test/quotaledger"
	"harepass/internal/test/virtualtime"
)

// Admission decides which queries the loop admits. overload.Controller implements it; FirstCome is the baseline.
type Admission interface {
	// Admit decides on an attempt that arrives now.
	Admit(a overload.Arrival, now time.Duration) overload.Decision
	// QueryDone is called when the loop has finished an admitted query. The argument is the query's number of parts.
	QueryDone(parts int)
	// Observe is called with the loop's signals after each Interval, unless the process is stalled at that instant.
	// The loop ignores the returned value.
	Observe(s overload.Signals, now time.Duration) bool
	// Interval is the time between calls of Observe.
	Interval() time.Duration
}

// FirstCome is an Admission that admits every query.
type FirstCome struct{}

// Admit implements Admission.
func (FirstCome) Admit(overload.Arrival, time.Duration) overload.Decision {
	return overload.Decision{Admitted: true}
}

// QueryDone implements Admission.
func (FirstCome) QueryDone(int) {}

// Observe implements Admission.
func (FirstCome) Observe(overload.Signals, time.Duration) bool { return false }

// Interval implements Admission.
func (FirstCome) Interval() time.Duration { return 100 * time.Millisecond }

// Load is a tenant's traffic of one class.
type Load struct {
	Class, Tenant  string
	Parts          int                           // parts of each query
	PriorityWeight float64                       // priority weight of each query
	Rate           func(t time.Duration) float64 // queries per second at an instant
}

// Simulation defines the loop's traffic, its speed, its limits and its stalls.
type Simulation struct {
	Loads            []Load
	Duration         time.Duration // length of the traffic; no retry arrives after it, but each load's last query does
	Seed             uint64
	Retries          int                        // most retries of a rejected client; each one waits for the Retry-After
	Stalled          func(t time.Duration) bool // whether the process is stalled at an instant; nil for never
	LatencyObjective time.Duration              // from the arrival of the admitted attempt to the end of its processing
	QueryTime        time.Duration              // loop time of an admitted query, excluding its parts
	PartTime         time.Duration              // loop time of each part
	RejectionTime    time.Duration              // loop time of a rejection
	QueueLength      int                        // most queries in the queue; further attempts are rejected
	Quotas           map[string]float64         // by tenant, in queries per second; a tenant without one has no limit
}

// Run runs the whole simulation with an admission control and returns its result.
func (s Simulation) Run(admission Admission) *Result {
	r := &run{
		Simulation:     s,
		admission:      admission,
		result:         newResult(s.Duration),
		nextObserve:    admission.Interval(),
		arrivedWeights: quotaledger.Ledger{},
		servedWeights:  quotaledger.Ledger{},
	}
	r.drawFirstAttempts()
	for r.pending.Len() > 0 {
		_, next := r.pending.Pop()
		r.observeUntil(next.at)
		r.finish(next.at)
		r.arrive(next)
	}
	r.applyQuotas()
	return r.result
}

// run is the state of a Simulation during Run.
type run struct {
	Simulation
	admission Admission
	result    *Result
	pending   virtualtime.Queue[attempt]

	queue   []job         // admitted queries that the loop has not finished, in order of admission
	freeAt  time.Duration // instant at which the loop finishes all its present work
	signals signals

	nextObserve time.Duration // instant of the next call of Admission.Observe

	arrivedWeights quotaledger.Ledger // priority weights of all queries, by the arrival of their first attempt
	servedWeights  quotaledger.Ledger // priority weights of the queries served within the latency objective
}

// applyQuotas replaces the weights of the tenants and of the total by weights that the tenants' quotas reduce.
func (r *run) applyQuotas() {
	total := &r.result.Total
	total.EarnedWeight, total.OfferedWeight = 0, 0
	for tenant, tally := range r.result.ByTenant {
		tally.EarnedWeight = r.servedWeights.Sum(tenant, r.Quotas[tenant])
		tally.OfferedWeight = r.arrivedWeights.Sum(tenant, r.Quotas[tenant])
		total.EarnedWeight += tally.EarnedWeight
		total.OfferedWeight += tally.OfferedWeight
	}
}
