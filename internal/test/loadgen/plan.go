package loadgen

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// ErrInvalidPlan says that a plan cannot be played as it is written.
var ErrInvalidPlan = errors.New("invalid plan")

// Plan is open-loop traffic for an OpenSearch-style front.
type Plan struct {
	Target   string        `yaml:"target"`  // URL of the front, on a loopback address
	Duration time.Duration `yaml:"time"`    // no attempt begins after it; maxDuration at most
	Rate     float64       `yaml:"rate"`    // queries a second of all tenants together, without bursts
	Seed     uint64        `yaml:"seed"`    // source of all draws
	Retries  int           `yaml:"retries"` // retries of a rejected client at most, each after its Retry-After
	Classes  []Class       `yaml:"classes"`
	Tenants  []Tenant      `yaml:"tenants"`
	Bursts   []Burst       `yaml:"bursts"`
}

// Class is a class of queries.
type Class struct {
	Name             string        `yaml:"name"`
	Share            float64       `yaml:"share"`    // share of the queries, from 0 to 1
	Index            string        `yaml:"index"`    // OpenSearch index that is addressed
	SendsDocument    bool          `yaml:"report"`   // whether a query sends a document rather than searches
	ShardsPerQuery   int           `yaml:"sections"` // consecutive shards that a search asks for; 0 for all
	Shards           int           `yaml:"of"`       // shards of the index
	PriorityWeight   float64       `yaml:"worth"`    // priority weight of an answer within the latency objective
	LatencyObjective time.Duration `yaml:"aim"`      // an answer after it earns nothing
	Timeout          time.Duration `yaml:"timeout"`  // time after which the client gives up
}

// Tenant is a caller with a share of the traffic.
type Tenant struct {
	Name   string  `yaml:"name"`
	Caller string  `yaml:"caller"` // user that it authenticates as; empty for none
	Share  float64 `yaml:"share"`  // share of the queries, from 0 to 1
	Quota  float64 `yaml:"quota"`  // queries a second beyond which priority weight is reduced; 0 for no limit
}

// Burst multiplies the traffic of a tenant, or of all tenants, for a while.
type Burst struct {
	From   time.Duration `yaml:"from"`   // from the start of the run
	To     time.Duration `yaml:"to"`     // from the start of the run
	Factor float64       `yaml:"factor"` // multiple of the usual traffic
	Tenant string        `yaml:"tenant"` // empty for all tenants
}

// Bounds of a plan.
const (
	maxDuration       = time.Hour
	maxRate           = 1e5 // queries a second
	maxRetries        = 10
	shareSumTolerance = 0.01 // by which the sum of shares may differ from 1
)

// ReadPlan reads a plan from YAML. The error wraps ErrInvalidPlan where the file is not a valid plan.
func ReadPlan(path string) (*Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := &Plan{}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(p); err != nil {
		return nil, fmt.Errorf("%s: %w: %s", path, ErrInvalidPlan, strings.Join(strings.Fields(err.Error()), " "))
	}
	if err := p.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

// validate returns an error that wraps ErrInvalidPlan for a plan that cannot be played.
func (p *Plan) validate() error {
	if !isLoopbackURL(p.Target) {
		return fmt.Errorf("%w: target %q has to be http://HOST:PORT on a loopback address", ErrInvalidPlan, p.Target)
	}
	classShares, tenantShares := 0.0, 0.0
	for _, c := range p.Classes {
		classShares += c.Share
		if !c.isValid() {
			return fmt.Errorf("%w: class %q: name, index, share, aim, timeout and of (sections) are wanted",
				ErrInvalidPlan, c.Name)
		}
	}
	for _, t := range p.Tenants {
		tenantShares += t.Share
		if t.Name == "" || t.Share < 0 {
			return fmt.Errorf("%w: tenant %q: name and share are wanted", ErrInvalidPlan, t.Name)
		}
	}
	if math.Abs(classShares-1) > shareSumTolerance || math.Abs(tenantShares-1) > shareSumTolerance {
		return fmt.Errorf("%w: shares sum to %.2f of the classes and %.2f of the tenants, 1 is wanted",
			ErrInvalidPlan, classShares, tenantShares)
	}
	if p.Rate <= 0 || p.Rate > maxRate || p.Duration <= 0 || p.Duration > maxDuration ||
		p.Retries < 0 || p.Retries > maxRetries {
		return fmt.Errorf("%w: rate, time (an hour at most) and retries (10 at most) are wanted", ErrInvalidPlan)
	}
	return nil
}

// isLoopbackURL reports whether a target is an http URL of a loopback address with a port.
func isLoopbackURL(target string) bool {
	hostPort, isHTTP := strings.CutPrefix(target, "http://")
	host, _, err := net.SplitHostPort(hostPort)
	if !isHTTP || err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// isValid reports whether a class can be played.
func (c Class) isValid() bool {
	return c.Name != "" && c.Index != "" && c.Share >= 0 && c.Timeout > 0 && c.LatencyObjective > 0 &&
		c.Shards >= 1 && c.ShardsPerQuery <= c.Shards
}

// trafficFactor returns the multiple of its usual traffic that a tenant sends at an instant.
func (p *Plan) trafficFactor(tenant string, at time.Duration) float64 {
	factor := 1.0
	for _, b := range p.Bursts {
		if at >= b.From && at < b.To && b.appliesTo(tenant) {
			factor *= b.Factor
		}
	}
	return factor
}

// maxTrafficFactor bounds trafficFactor for all instants.
func (p *Plan) maxTrafficFactor(tenant string) float64 {
	factor := 1.0
	for _, b := range p.Bursts {
		if b.appliesTo(tenant) {
			factor *= max(1, b.Factor)
		}
	}
	return factor
}

func (b Burst) appliesTo(tenant string) bool { return b.Tenant == "" || b.Tenant == tenant }
