package loadgen

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"harepass/internal/test/quotaledger"
)

// lateSlack is how long after the client's timeout an answer may arrive without counting as late. It allows for delays
// in this process.
const lateSlack = 100 * time.Millisecond

// maxRecordedLatency is the greatest latency that the histograms can record.
const maxRecordedLatency = time.Minute

// percentiles are the percentiles of the latency that a result states.
var percentiles = []float64{50, 90, 99, 99.9}

// counts accumulates the counts of a run. It is safe for concurrent use.
type counts struct {
	plan *Plan

	mu             sync.Mutex
	result         *Result
	arrivedWeights quotaledger.Ledger // priority weights of all queries, by the instant of the first attempt
	earnedWeights  quotaledger.Ledger // priority weights of the queries served within the latency objective
	classes        []*classCounts     // by index in the plan
}

// classCounts holds the counts of a class.
type classCounts struct {
	arrived, served quotaledger.Ledger      // queries, each with weight 1
	latencies       *hdrhistogram.Histogram // microseconds
}

// attemptResult is the outcome of an attempt.
type attemptResult struct {
	status  int           // HTTP status, or statusNoAnswer
	due     time.Duration // when it was due, from the start of the run
	latency time.Duration // from due to the end of the answer
	retries bool          // whether the client will retry
}

func newCounts(p *Plan) *counts {
	c := &counts{
		plan:           p,
		arrivedWeights: quotaledger.Ledger{},
		earnedWeights:  quotaledger.Ledger{},
		result: &Result{
			Classes: map[string]*ClassResult{},
			Tenants: map[string]*TenantResult{},
			Slices:  make([]Slice, int(p.Duration/SliceTime)+1),
		},
	}
	for _, class := range p.Classes {
		c.result.Classes[class.Name] = &ClassResult{}
		c.classes = append(c.classes, &classCounts{
			arrived: quotaledger.Ledger{}, served: quotaledger.Ledger{},
			latencies: hdrhistogram.New(1, maxRecordedLatency.Microseconds(), 3),
		})
	}
	for _, t := range p.Tenants {
		c.result.Tenants[t.Name] = &TenantResult{}
	}
	return c
}

// report writes a progress line about the slice that precedes an instant.
func (c *counts) report(progress io.Writer, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.result.Slices[max(0, int(at/SliceTime)-1)]
	fmt.Fprintf(progress, "%3.0f s: last tenth: %d asked, %d served, %d refused, %d late\n",
		at.Seconds(), s.Arrived, s.Served, s.Rejected, s.Late)
}

// arrive counts a first attempt.
func (c *counts) arrive(a arrival) {
	class, tenant := c.plan.Classes[a.class], c.plan.Tenants[a.tenant].Name
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Classes[class.Name].Arrived++
	c.result.Tenants[tenant].Arrived++
	c.arrivedWeights.Add(tenant, a.at, class.PriorityWeight)
	c.classes[a.class].arrived.Add(tenant, a.at, 1)
	c.slice(a.at).Arrived++
}

// attemptEnded counts the end of an attempt. A query counts as rejected only if the client does not retry the rejected
// attempt.
func (c *counts) attemptEnded(a arrival, r attemptResult) {
	class, tenant := c.plan.Classes[a.class], c.plan.Tenants[a.tenant].Name
	late := r.latency > class.Timeout+lateSlack
	c.mu.Lock()
	defer c.mu.Unlock()
	classResult, tenantResult, slice := c.result.Classes[class.Name], c.result.Tenants[tenant], c.slice(r.due)
	slice.Attempts++
	switch {
	case (r.status == http.StatusOK || r.status == http.StatusCreated) && !late:
		slice.Served++
		classResult.Served++
		tenantResult.Served++
		c.classes[a.class].served.Add(tenant, a.at, 1)
		if r.latency <= class.LatencyObjective {
			c.earnedWeights.Add(tenant, a.at, class.PriorityWeight)
		}
		c.classes[a.class].latencies.RecordValue(r.latency.Microseconds())
	case r.status == http.StatusTooManyRequests:
		slice.Rejected++
		if !r.retries {
			classResult.Rejected++
			tenantResult.Rejected++
		}
	case r.status == statusNoAnswer || late:
		slice.Late++
		classResult.Late++
		c.result.Lost++
	default:
		slice.Failed++
		classResult.Failed++
	}
}

// slice returns the slice that contains an instant. The caller holds mu.
func (c *counts) slice(at time.Duration) *Slice {
	return &c.result.Slices[min(len(c.result.Slices)-1, int(at/SliceTime))]
}

// finish completes the result. It is called once all attempts have ended.
func (c *counts) finish() *Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, class := range c.plan.Classes {
		c.finishClass(c.classes[i], c.result.Classes[class.Name])
	}
	for _, t := range c.plan.Tenants {
		r := c.result.Tenants[t.Name]
		r.EarnedWeight, r.OfferedWeight = c.earnedWeights.Sum(t.Name, t.Quota), c.arrivedWeights.Sum(t.Name, t.Quota)
		c.result.EarnedWeight += r.EarnedWeight
		c.result.OfferedWeight += r.OfferedWeight
	}
	return c.result
}

// finishClass computes how many queries of a class were within the tenants' quotas, and the percentiles of its latency.
func (c *counts) finishClass(class *classCounts, result *ClassResult) {
	for _, t := range c.plan.Tenants {
		for second, arrived := range class.arrived[t.Name] {
			within := arrived.Queries
			if t.Quota > 0 {
				within = min(within, t.Quota)
			}
			result.WithinQuota += within
			if served := class.served[t.Name][second]; served != nil {
				result.ServedWithinQuota += min(within, served.Queries)
			}
		}
	}
	result.Percentiles = map[string]float64{}
	for _, q := range percentiles {
		milliseconds := float64(class.latencies.ValueAtPercentile(q)) / 1000
		result.Percentiles[strconv.FormatFloat(q, 'f', -1, 64)] = milliseconds
	}
}
