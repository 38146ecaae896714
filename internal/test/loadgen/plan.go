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

// ErrInvalidPlan reports that a plan cannot be run.
var ErrInvalidPlan = errors.New("invalid plan")

// Plan describes open-loop traffic for an OpenSearch-style front.
type Plan struct {
	Target   string        `yaml:"target"`  // URL of the front, on a loopback address
	Duration time.Duration `yaml:"time"`    // no attempt begins after it; at most maxDuration
	Rate     float64       `yaml:"rate"`    // queries per second of all tenants together, without bursts
	Seed     uint64        `yaml:"seed"`    // seed of all random draws
	Retries  int           `yaml:"retries"` // maximum number of retries of a rejected query, each after its Retry-After
	Classes  []Class       `yaml:"classes"`
	Tenants  []Tenant      `yaml:"tenants"`
	Bursts   []Burst       `yaml:"bursts"`
}

// Class is a class of queries.
type Class struct {
	Name             string        `yaml:"name"`
	Share            float64       `yaml:"share"`    // share of the queries, from 0 to 1
	Index            string        `yaml:"index"`    // OpenSearch index that queries address
	SendsDocument    bool          `yaml:"report"`   // whether a query indexes a document instead of searching
	ShardsPerQuery   int           `yaml:"sections"` // consecutive shards that a search covers; 0 for all
	Shards           int           `yaml:"of"`       // shards of the index
	PriorityWeight   float64       `yaml:"worth"`    // priority weight of an answer within the latency objective
	LatencyObjective time.Duration `yaml:"aim"`      // a later answer earns no priority weight
	Timeout          time.Duration `yaml:"timeout"`  // time after which the client gives up
}

// Tenant is a caller that sends a share of the traffic.
type Tenant struct {
	Name   string  `yaml:"name"`
	Caller string  `yaml:"caller"` // user name for authentication; empty for no authentication
	Share  float64 `yaml:"share"`  // share of the queries, from 0 to 1
	Quota  float64 `yaml:"quota"`  // queries per second beyond which priority weight is reduced; 0 for no quota
}

// Burst multiplies the traffic of a tenant, or of all tenants, during a span of time.
type Burst struct {
	From   time.Duration `yaml:"from"`   // from the start of the run
	To     time.Duration `yaml:"to"`     // from the start of the run
	Factor float64       `yaml:"factor"` // multiple of the usual traffic
	Tenant string        `yaml:"tenant"` // empty for all tenants
}

// Bounds of a plan.
const (
	maxDuration       = time.Hour
	maxRate           = 1e5 // queries per second
	maxRetries        = 10
	shareSumTolerance = 0.01 // how far the sum of shares may differ from 1
)

// ReadPlan reads a plan from a YAML file. The error wraps ErrInvalidPlan if the content is not a valid plan.
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

// validate returns an error that wraps ErrInvalidPlan if the plan cannot be run.
func (p *Plan) validate() error {
	if !isLoopbackURL(p.Target) {
		return fmt.Errorf("%w: target %q must be http://HOST:PORT on a loopback address", ErrInvalidPlan, p.Target)
	}
	classShares, tenantShares := 0.0, 0.0
	for _, c := range p.Classes {
		classShares += c.Share
		if !c.isValid() {
			return fmt.Errorf(
				"%w: class %q: name, index, aim, timeout and of are required; share is at least 0, sections at most of",
				ErrInvalidPlan, c.Name)
		}
	}
	for _, t := range p.Tenants {
		tenantShares += t.Share
		if t.Name == "" || t.Share < 0 {
			return fmt.Errorf("%w: tenant %q: name must be set, and share must not be negative", ErrInvalidPlan, t.Name)
		}
	}
	if math.Abs(classShares-1) > shareSumTolerance || math.Abs(tenantShares-1) > shareSumTolerance {
		return fmt.Errorf("%w: class shares sum to %.2f and tenant shares to %.2f; both sums must be 1",
			ErrInvalidPlan, classShares, tenantShares)
	}
	if p.Rate <= 0 || p.Rate > maxRate || p.Duration <= 0 || p.Duration > maxDuration ||
		p.Retries < 0 || p.Retries > maxRetries {
		return fmt.Errorf("%w: rate must be above 0 and at most 1e5, time above 0 and at most 1h, retries 0 to 10",
			ErrInvalidPlan)
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

// isValid reports whether the class can be run.
func (c Class) isValid() bool {
	return c.Name != "" && c.Index != "" && c.Share >= 0 && c.Timeout > 0 && c.LatencyObjective > 0 &&
		c.Shards >= 1 && c.ShardsPerQuery <= c.Shards
}

// trafficFactor returns the factor by which bursts multiply the usual traffic of a tenant at an instant.
func (p *Plan) trafficFactor(tenant string, at time.Duration) float64 {
	factor := 1.0
	for _, b := range p.Bursts {
		if at >= b.From && at < b.To && b.appliesTo(tenant) {
			factor *= b.Factor
		}
	}
	return factor
}

// maxTrafficFactor returns an upper bound of trafficFactor over all instants.
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
