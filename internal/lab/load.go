package lab

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.yaml.in/yaml/v3"
)

// LoadPlan is open-loop traffic for an OpenSearch-style front: arrivals are drawn ahead, go out when they are due
// whatever became of those before, and count from then.
type LoadPlan struct {
	Target  string        `yaml:"target"` // URL of the front
	Time    time.Duration `yaml:"time"`
	Rate    float64       `yaml:"rate"` // queries a second of all tenants together, but for bursts
	Seed    uint64        `yaml:"seed"`
	Retries int           `yaml:"retries"` // of a refused client, when it was told to come back
	Classes []LoadClass   `yaml:"classes"`
	Tenants []LoadTenant  `yaml:"tenants"`
	Bursts  []Burst       `yaml:"bursts"`
}

// LoadClass is a class of queries.
type LoadClass struct {
	Name     string        `yaml:"name"`
	Share    float64       `yaml:"share"` // of the queries
	Index    string        `yaml:"index"`
	Report   bool          `yaml:"report"`   // a document, not a search
	Sections int           `yaml:"sections"` // asked by a search, in a row; 0 for every one
	Of       int           `yaml:"of"`       // sections that there are
	Worth    float64       `yaml:"worth"`
	Aim      time.Duration `yaml:"aim"`     // an answer within it has its full worth
	Timeout  time.Duration `yaml:"timeout"` // the client gives up
}

// LoadTenant is a caller with a share.
type LoadTenant struct {
	Name   string  `yaml:"name"`
	Caller string  `yaml:"caller"` // the user that it authenticates as
	Share  float64 `yaml:"share"`  // of the queries
	Quota  float64 `yaml:"quota"`  // queries a second; what goes beyond is worth a twentieth
}

// Burst has a tenant, or all, send so many times as much for a while.
type Burst struct {
	From   time.Duration `yaml:"from"`
	To     time.Duration `yaml:"to"`
	Factor float64       `yaml:"factor"`
	Tenant string        `yaml:"tenant"` // all if empty
}

// LoadLoadPlan reads a plan from YAML.
func LoadLoadPlan(path string) (*LoadPlan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := &LoadPlan{}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err = dec.Decode(p); err == nil {
		err = p.check()
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %s", path, strings.Join(strings.Fields(err.Error()), " "))
	}
	return p, nil
}

func (p *LoadPlan) check() error {
	host, ok := strings.CutPrefix(p.Target, "http://")
	name, _, err := net.SplitHostPort(host)
	if ip := net.ParseIP(name); !ok || err != nil || name != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("target %q has to be http://HOST:PORT on a loopback address", p.Target)
	}
	sum := [2]float64{}
	for _, c := range p.Classes {
		if sum[0] += c.Share; c.Name == "" || c.Index == "" || c.Share < 0 || c.Timeout <= 0 || c.Aim <= 0 || c.Of < 1 || c.Sections > c.Of {
			return fmt.Errorf("class %q: name, index, share, aim, timeout and of (sections) are wanted", c.Name)
		}
	}
	for _, t := range p.Tenants {
		if sum[1] += t.Share; t.Name == "" || t.Share < 0 {
			return fmt.Errorf("tenant %q: name and share are wanted", t.Name)
		}
	}
	if math.Abs(sum[0]-1) > 0.01 || math.Abs(sum[1]-1) > 0.01 {
		return fmt.Errorf("shares sum to %.2f of the classes and %.2f of the tenants, 1 is wanted", sum[0], sum[1])
	}
	if p.Rate <= 0 || p.Time <= 0 || p.Time > time.Hour || p.Rate > 1e5 || p.Retries < 0 || p.Retries > 10 {
		return errors.New("rate, time (an hour at most) and retries (10 at most) are wanted")
	}
	return nil
}

// factor is how much of its usual traffic a tenant sends.
func (p *LoadPlan) factor(tenant string, at time.Duration) float64 {
	f := 1.0
	for _, b := range p.Bursts {
		if at >= b.From && at < b.To && (b.Tenant == "" || b.Tenant == tenant) {
			f *= b.Factor
		}
	}
	return f
}

// arrival is a client's first try.
type arrival struct {
	at            time.Duration
	class, tenant int
	section       int
}

// arrivals draws all of them. Each pair of class and tenant has a stream of its own: a burst of one leaves the others as they were.
func (p *LoadPlan) arrivals() (list []arrival) {
	for c, class := range p.Classes {
		for t, tenant := range p.Tenants {
			usual := p.Rate * class.Share * tenant.Share
			if usual == 0 {
				continue
			}
			rng := rand.New(rand.NewPCG(p.Seed, uint64(c<<16|t)))
			most := 1.0
			for _, b := range p.Bursts {
				if b.Tenant == "" || b.Tenant == tenant.Name {
					most *= max(1, b.Factor)
				}
			}
			for at := time.Duration(0); ; { // thinned from the most there is
				at += time.Duration(rng.ExpFloat64() / (usual * most) * float64(time.Second))
				if at >= p.Time {
					break
				}
				section := rng.IntN(class.Of)
				if rng.Float64()*most < p.factor(tenant.Name, at) {
					list = append(list, arrival{at, c, t, section})
				}
			}
		}
	}
	slices.SortStableFunc(list, func(x, y arrival) int { return int(x.at - y.at) })
	return list
}

// Slice is a tenth of a second of a load.
type Slice struct{ Asked, Tries, Served, Refused, Failed, Late int }

// ClassResult is what came of a class.
type ClassResult struct {
	Asked, Served, Refused, Failed, Late int
	Within, WithinServed                 float64            // by second and tenant: what its share covers of the class alone
	Percentiles                          map[string]float64 // milliseconds, from when it was due to the answer
}

// TenantResult is what came of a tenant.
type TenantResult struct {
	Asked, Served, Refused int
	Worth, Most            float64
}

// LoadResult is what came of a load. A client's retries belong to its first try.
type LoadResult struct {
	Name    string
	Slices  []Slice
	Classes map[string]*ClassResult
	Tenants map[string]*TenantResult
	Worth   float64   // served in time, within the shares
	Most    float64   // asked for
	Lost    int       // tries that ended without any answer, or late ones
	Levels  []LevelAt `json:",omitempty"`
	Waits   []Point   `json:",omitempty"` // of the coordinator's loop, where that is known: milliseconds
}

// Point is a value at a time, in seconds from the start.
type Point struct{ At, Value float64 }

// LevelAt is a change of the level of overload.
type LevelAt struct {
	At    float64
	Level string
}

// loader is a running load.
type loader struct {
	*LoadPlan
	client *http.Client
	began  time.Time

	mu            sync.Mutex
	res           *LoadResult
	asked, served quota
	byClass       [2][]quota // asked and served, by class
	hists         []*hdrhistogram.Histogram
}

const lateSlack = 100 * time.Millisecond // of this machine, before an answer is called late

// Run plays the load; progress, where not nil, gets a line each second.
func (p *LoadPlan) Run(ctx context.Context, progress io.Writer) (*LoadResult, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	l := &loader{LoadPlan: p, asked: quota{}, served: quota{}, res: &LoadResult{Classes: map[string]*ClassResult{}, Tenants: map[string]*TenantResult{},
		Slices: make([]Slice, int(p.Time/(100*time.Millisecond))+1)}}
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2000, IdleConnTimeout: 30 * time.Second, DisableCompression: true}}
	defer l.client.CloseIdleConnections()
	for _, c := range p.Classes {
		l.res.Classes[c.Name] = &ClassResult{}
		l.byClass[0], l.byClass[1] = append(l.byClass[0], quota{}), append(l.byClass[1], quota{})
		l.hists = append(l.hists, hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3))
	}
	for _, t := range p.Tenants {
		l.res.Tenants[t.Name] = &TenantResult{}
	}
	list := p.arrivals()
	var wg sync.WaitGroup
	l.began = time.Now()
	told := time.Duration(0)
	for _, a := range list {
		time.Sleep(time.Until(l.began.Add(a.at)))
		if ctx.Err() != nil {
			break
		}
		if progress != nil && a.at-told >= time.Second {
			told = a.at
			l.mu.Lock()
			s := l.res.Slices[max(0, int(told/(100*time.Millisecond))-1)]
			fmt.Fprintf(progress, "%3.0f s: last tenth: %d asked, %d served, %d refused, %d late\n", told.Seconds(), s.Asked, s.Served, s.Refused, s.Late)
			l.mu.Unlock()
		}
		wg.Go(func() { l.play(ctx, a) })
	}
	wg.Wait()
	l.end()
	return l.res, nil
}

// play is one client: its first try and its retries.
func (l *loader) play(ctx context.Context, a arrival) {
	c, t := l.Classes[a.class], l.Tenants[a.tenant]
	l.mu.Lock()
	cr, tr := l.res.Classes[c.Name], l.res.Tenants[t.Name]
	cr.Asked++
	tr.Asked++
	l.asked.add(t.Name, a.at, c.Worth)
	l.byClass[0][a.class].add(t.Name, a.at, 1)
	l.slice(a.at).Asked++
	l.mu.Unlock()
	for try := 0; ; try++ {
		due := time.Since(l.began)
		if try == 0 {
			due = a.at
		}
		status, retryIn := l.try(ctx, c, t, a.section)
		took := time.Since(l.began) - due
		l.mu.Lock()
		s := l.slice(due)
		s.Tries++
		switch {
		case (status == 200 || status == 201) && took <= c.Timeout+lateSlack:
			s.Served++
			cr.Served++
			tr.Served++
			l.byClass[1][a.class].add(t.Name, a.at, 1)
			if took <= c.Aim {
				l.served.add(t.Name, a.at, c.Worth)
			}
			l.hists[a.class].RecordValue(took.Microseconds())
		case status == 429:
			s.Refused++
		case status == 0 || took > c.Timeout+lateSlack:
			s.Late++
			cr.Late++
			l.res.Lost++
		default:
			s.Failed++
			cr.Failed++
		}
		again := status == 429 && try < l.Retries && due+took+retryIn < l.Time
		if status == 429 && !again {
			cr.Refused++
			tr.Refused++
		}
		l.mu.Unlock()
		if !again {
			return
		}
		time.Sleep(retryIn)
	}
}

func (l *loader) slice(at time.Duration) *Slice {
	return &l.res.Slices[min(len(l.res.Slices)-1, int(at/(100*time.Millisecond)))]
}

// try sends one request. Status 0 is no answer.
func (l *loader) try(ctx context.Context, c LoadClass, t LoadTenant, section int) (status int, retryIn time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout+time.Second)
	defer cancel()
	target, body := fmt.Sprintf("%s/%s/_search?timeout=%dms", l.Target, c.Index, c.Timeout.Milliseconds()), `{"query":{"match_all":{}}}`
	switch {
	case c.Report:
		target, body = fmt.Sprintf("%s/%s/_doc?timeout=%dms", l.Target, c.Index, c.Timeout.Milliseconds()), fmt.Sprintf(`{"section":%d,"pin":"cornice"}`, section)
	case c.Sections > 0:
		first := min(section, c.Of-c.Sections)
		body = fmt.Sprintf(`{"query":{"range":{"section":{"gte":%d,"lt":%d}}}}`, first, first+c.Sections)
	}
	req, err := http.NewRequestWithContext(ctx, "POST", target, strings.NewReader(body))
	if err != nil {
		return 0, 0
	}
	req.Header.Set("Content-Type", "application/json")
	if t.Caller != "" {
		req.Header.Set("Authorization", "Basic "+base64.StdEncoding.EncodeToString([]byte(t.Caller+":")))
	}
	res, err := l.client.Do(req)
	if err != nil {
		return 0, 0
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0, 0
	}
	seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	return res.StatusCode, time.Duration(seconds * float64(time.Second))
}

func (l *loader) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, c := range l.Classes {
		h, r := l.hists[i], l.res.Classes[c.Name]
		for _, t := range l.Tenants {
			for second, asked := range l.byClass[0][i][t.Name] {
				within := asked[0]
				if t.Quota > 0 {
					within = min(within, t.Quota)
				}
				r.Within += within
				if served := l.byClass[1][i][t.Name][second]; served != nil {
					r.WithinServed += min(within, served[0])
				}
			}
		}
		r.Percentiles = map[string]float64{}
		for _, q := range []float64{50, 90, 99, 99.9} {
			r.Percentiles[strconv.FormatFloat(q, 'f', -1, 64)] = float64(h.ValueAtPercentile(q)) / 1000
		}
	}
	for _, t := range l.Tenants {
		r := l.res.Tenants[t.Name]
		r.Worth, r.Most = l.served.sum(t.Name, t.Quota), l.asked.sum(t.Name, t.Quota)
		l.res.Worth += r.Worth
		l.res.Most += r.Most
	}
}

// Write writes a result as JSON, for reports.
func (r *LoadResult) Write(path string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err == nil {
		err = os.WriteFile(path, append(data, '\n'), 0o644)
	}
	return err
}

// Print writes a result as a table.
func (r *LoadResult) Print(out io.Writer) error {
	t := &Report{}
	t.Table("class", "asked", "served", "refused", "failed", "late", "p50 ms", "p99 ms")
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		c := r.Classes[name]
		t.Row(name, c.Asked, c.Served, c.Refused, c.Failed, c.Late, c.Percentiles["50"], c.Percentiles["99"])
	}
	for _, name := range slices.Sorted(maps.Keys(r.Tenants)) {
		c := r.Tenants[name]
		t.Row(name, c.Asked, c.Served, c.Refused, "", "", fmt.Sprintf("worth %.0f", c.Worth), fmt.Sprintf("of %.0f", c.Most))
	}
	t.Key("worth", "%.3f", r.Worth/math.Max(r.Most, 1e-9))
	t.Key("lost", "%d", r.Lost)
	return t.Print("load", out)
}
