package loadgen

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"harepass/internal/test/quotaledger"
)

// lateSlack is what this machine may add before an answer is called late.
const lateSlack = 100 * time.Millisecond

// player is a running load.
type player struct {
	*Plan
	client *http.Client
	began  time.Time

	mu      sync.Mutex
	result  *Result
	asked   quotaledger.Ledger
	served  quotaledger.Ledger // in time
	classes []*classCount
}

// classCount is what a class had so far.
type classCount struct {
	asked, served quotaledger.Ledger      // each query with a worth of 1
	latencies     *hdrhistogram.Histogram // microseconds
}

// Run plays the load; progress, where not nil, gets a line each second.
func (p *Plan) Run(ctx context.Context, progress io.Writer) (*Result, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	l := newPlayer(p)
	defer l.client.CloseIdleConnections()
	arrivals := p.arrivals()
	var wg sync.WaitGroup
	l.began = time.Now()
	reported := time.Duration(0)
	for _, a := range arrivals {
		time.Sleep(time.Until(l.began.Add(a.at)))
		if ctx.Err() != nil {
			break
		}
		if progress != nil && a.at-reported >= time.Second {
			reported = a.at
			l.report(progress, reported)
		}
		wg.Go(func() { l.play(ctx, a) })
	}
	wg.Wait()
	l.sumUp()
	return l.result, nil
}

func newPlayer(p *Plan) *player {
	l := &player{Plan: p, asked: quotaledger.Ledger{}, served: quotaledger.Ledger{}, result: &Result{Classes: map[string]*ClassResult{}, Tenants: map[string]*TenantResult{},
		Slices: make([]Slice, int(p.Time/sliceTime)+1)}}
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2000, IdleConnTimeout: 30 * time.Second, DisableCompression: true}}
	for _, c := range p.Classes {
		l.result.Classes[c.Name] = &ClassResult{}
		l.classes = append(l.classes, &classCount{quotaledger.Ledger{}, quotaledger.Ledger{}, hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)})
	}
	for _, t := range p.Tenants {
		l.result.Tenants[t.Name] = &TenantResult{}
	}
	return l
}

// report writes a line on the slice before an instant.
func (l *player) report(progress io.Writer, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.result.Slices[max(0, int(at/sliceTime)-1)]
	fmt.Fprintf(progress, "%3.0f s: last tenth: %d asked, %d served, %d refused, %d late\n", at.Seconds(), s.Asked, s.Served, s.Refused, s.Late)
}

// play is one client: its first try and its retries.
func (l *player) play(ctx context.Context, a arrival) {
	l.countAsked(a)
	for try := 0; ; try++ {
		due := time.Since(l.began)
		if try == 0 {
			due = a.at
		}
		status, retryIn := l.try(ctx, l.Classes[a.class], l.Tenants[a.tenant], a.section)
		took := time.Since(l.began) - due
		again := status == http.StatusTooManyRequests && try < l.Retries && due+took+retryIn < l.Time
		l.countTry(a, status, due, took, again)
		if !again {
			return
		}
		time.Sleep(retryIn)
	}
}

func (l *player) countAsked(a arrival) {
	class, tenant := l.Classes[a.class], l.Tenants[a.tenant].Name
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Classes[class.Name].Asked++
	l.result.Tenants[tenant].Asked++
	l.asked.Add(tenant, a.at, class.Worth)
	l.classes[a.class].asked.Add(tenant, a.at, 1)
	l.slice(a.at).Asked++
}

// countTry books how a try ended that was due at an instant; again tells that the client will retry.
func (l *player) countTry(a arrival, status int, due, took time.Duration, again bool) {
	class, tenant := l.Classes[a.class], l.Tenants[a.tenant].Name
	late := took > class.Timeout+lateSlack
	l.mu.Lock()
	defer l.mu.Unlock()
	classResult, tenantResult, slice := l.result.Classes[class.Name], l.result.Tenants[tenant], l.slice(due)
	slice.Tries++
	switch {
	case (status == http.StatusOK || status == http.StatusCreated) && !late:
		slice.Served++
		classResult.Served++
		tenantResult.Served++
		l.classes[a.class].served.Add(tenant, a.at, 1)
		if took <= class.Aim {
			l.served.Add(tenant, a.at, class.Worth)
		}
		l.classes[a.class].latencies.RecordValue(took.Microseconds())
	case status == http.StatusTooManyRequests:
		slice.Refused++
		if !again {
			classResult.Refused++
			tenantResult.Refused++
		}
	case status == noAnswer || late:
		slice.Late++
		classResult.Late++
		l.result.Lost++
	default:
		slice.Failed++
		classResult.Failed++
	}
}

// slice is called under the lock.
func (l *player) slice(at time.Duration) *Slice {
	return &l.result.Slices[min(len(l.result.Slices)-1, int(at/sliceTime))]
}

// noAnswer is the status of a try that ended without any.
const noAnswer = 0

// try sends one request.
func (l *player) try(ctx context.Context, c Class, t Tenant, section int) (status int, retryIn time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout+time.Second)
	defer cancel()
	path, body := c.request(section)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.Target+path, strings.NewReader(body))
	if err != nil {
		return noAnswer, 0
	}
	req.Header.Set("Content-Type", "application/json")
	if t.Caller != "" {
		req.SetBasicAuth(t.Caller, "")
	}
	res, err := l.client.Do(req)
	if err != nil {
		return noAnswer, 0
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return noAnswer, 0
	}
	seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	return res.StatusCode, time.Duration(seconds * float64(time.Second))
}

// request words a query that begins at a section, or a report on it.
func (c Class) request(section int) (path, body string) {
	if c.Report {
		return fmt.Sprintf("/%s/_doc?timeout=%dms", c.Index, c.Timeout.Milliseconds()), fmt.Sprintf(`{"section":%d,"pin":"cornice"}`, section)
	}
	body = `{"query":{"match_all":{}}}`
	if c.Sections > 0 {
		first := min(section, c.Of-c.Sections)
		body = fmt.Sprintf(`{"query":{"range":{"section":{"gte":%d,"lt":%d}}}}`, first, first+c.Sections)
	}
	return fmt.Sprintf("/%s/_search?timeout=%dms", c.Index, c.Timeout.Milliseconds()), body
}

// percentiles of the latencies that results have.
var percentiles = []float64{50, 90, 99, 99.9}

// sumUp completes the result once all has ended.
func (l *player) sumUp() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, c := range l.Classes {
		l.sumUpClass(l.classes[i], l.result.Classes[c.Name])
	}
	for _, t := range l.Tenants {
		r := l.result.Tenants[t.Name]
		r.Worth, r.Most = l.served.Sum(t.Name, t.Quota), l.asked.Sum(t.Name, t.Quota)
		l.result.Worth += r.Worth
		l.result.Most += r.Most
	}
}

func (l *player) sumUpClass(count *classCount, result *ClassResult) {
	for _, t := range l.Tenants {
		for second, asked := range count.asked[t.Name] {
			within := asked.Queries
			if t.Quota > 0 {
				within = min(within, t.Quota)
			}
			result.Within += within
			if served := count.served[t.Name][second]; served != nil {
				result.WithinServed += min(within, served.Queries)
			}
		}
	}
	result.Percentiles = map[string]float64{}
	for _, q := range percentiles {
		result.Percentiles[strconv.FormatFloat(q, 'f', -1, 64)] = float64(count.latencies.ValueAtPercentile(q)) / 1000
	}
}
