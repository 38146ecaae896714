package loopsim

import (
	"time"

	"harepass/internal/decide/overload"
	"harepass/internal/test/quotaledger"
	"harepass/internal/test/virtualtime"
)

// Admission decides which queries the loop takes. overload.Controller is one, and FirstCome the baseline.
type Admission interface {
	// Admit decides on an attempt that arrives now.
	Admit(a overload.Arrival, now time.Duration) overload.Decision
	// QueryDone is called when the loop has finished an admitted query with so many parts.
	QueryDone(parts int)
	// Observe is called with the loop's signals after each Interval, unless the process is stalled then. The loop does
	// not use what it returns.
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

// Load is the traffic of one class that a tenant sends.
type Load struct {
	Class, Tenant  string
	Parts          int                           // parts of each query
	PriorityWeight float64                       // priority weight of each query
	Rate           func(t time.Duration) float64 // queries a second at an instant
}

// Simulation is the traffic that the loop gets, and what the loop can do.
type Simulation struct {
	Loads            []Load
	Duration         time.Duration // no first attempt or retry arrives after it
	Seed             uint64
	Retries          int                        // retries of a rejected client at most, each after its Retry-After
	Stalled          func(t time.Duration) bool // whether the process is stalled at an instant; nil: never
	LatencyObjective time.Duration              // from the arrival of the admitted attempt to the end of its work
	QueryTime        time.Duration              // loop time of an admitted query, without its parts
	PartTime         time.Duration              // loop time of each part
	RejectionTime    time.Duration              // loop time of a rejection
	QueueLength      int                        // queries in the queue at most; beyond it all are rejected
	Quotas           map[string]float64         // by tenant, in queries a second; a tenant without one is not limited
}

// Run plays the simulation with an admission control and returns what came of it.
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

// run is a Simulation that is being played.
type run struct {
	Simulation
	admission Admission
	result    *Result
	pending   virtualtime.Queue[attempt]

	queue   []job         // admitted queries that the loop has not finished, in the order of their admission
	freeAt  time.Duration // when the loop will have done all work that it has
	signals signals

	nextObserve time.Duration // when the admission control gets signals next

	arrivedWeights quotaledger.Ledger // priority weights by the instant of the first attempt
	servedWeights  quotaledger.Ledger // those served within the latency objective
}

// applyQuotas replaces the weights of the tenants and of the total by those that their quotas leave.
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
