// Package loadgen plays open-loop traffic against an OpenSearch-style front and says what came of it.
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

// Plan is open-loop traffic for an OpenSearch-style front: arrivals are drawn ahead, go out when they are due
// whatever became of those before, and count from then.
type Plan struct {
	Target  string        `yaml:"target"` // URL of the front
	Time    time.Duration `yaml:"time"`
	Rate    float64       `yaml:"rate"` // queries a second of all tenants together, but for bursts
	Seed    uint64        `yaml:"seed"`
	Retries int           `yaml:"retries"` // of a refused client, when it was told to come back
	Classes []Class       `yaml:"classes"`
	Tenants []Tenant      `yaml:"tenants"`
	Bursts  []Burst       `yaml:"bursts"`
}

func (p *Plan) check() error {
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
func (p *Plan) factor(tenant string, at time.Duration) float64 {
	f := 1.0
	for _, b := range p.Bursts {
		if at >= b.From && at < b.To && (b.Tenant == "" || b.Tenant == tenant) {
			f *= b.Factor
		}
	}
	return f
}

// Class is a class of queries.
type Class struct {
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

// Tenant is a caller with a share.
type Tenant struct {
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

// ReadPlan reads a plan from YAML.
func ReadPlan(path string) (*Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := &Plan{}
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
