// Package lab is the laboratory: whole coordinators before emulated map nodes, load, and experiments that hold
// the program against its own baseline. It has only what the operators' benches cannot show.
package lab

import (
	"encoding/json"
	"net/textproto"
	"time"

	"harepass"
	"harepass/internal/core"
	"harepass/internal/decide/twophase"
	"harepass/internal/http1"
	"harepass/internal/opensearch"
	"harepass/internal/platform"
	"harepass/internal/standin"
)

// Node is an emulated map node. Its address on the network in memory is its ID.
type Node struct {
	standin.Fleet
	ID     string
	Cell   int
	Scheme string // that it speaks; the OpenSearch-style API if empty
}

// Site is what a coordinator is set up for.
type Site struct {
	Settings harepass.Settings
	Sections int
	Indices  map[string]*opensearch.Index
	Memory   int // bytes for retained values
	Nodes    []*Node
	Gate     core.Gate // nil admits all
}

// Coordinator is a whole coordinator in this process: the owner, its callers and its front, with sockets in memory
// towards the nodes.
type Coordinator struct {
	Planner *twophase.Planner // the owner's: not to be touched while it runs
	Clock   core.Clock

	owner *core.Owner
	front *opensearch.Front
	ends  []func()
}

const (
	connectTime = 250 * time.Millisecond
	keepTime    = 30 * time.Second
)

// Start starts the nodes and the coordinator.
func (s Site) Start() (*Coordinator, error) {
	cfg := &opensearch.Config{Listen: "memory", SectionField: "section", Indices: s.Indices}
	if err := cfg.Check(s.Settings, s.Sections); err != nil {
		return nil, err
	}
	c := &Coordinator{Clock: core.SystemClock(), Planner: twophase.New(s.Memory)}
	net := &standin.Net{}
	frames := &platform.Nodes{Streams: 32, ConnectTimeout: connectTime, Quiet: 300 * time.Millisecond, KeepAlive: keepTime, Dial: net.Dial}
	api := &opensearch.Nodes{Config: cfg, ConnectTimeout: connectTime, KeepAlive: keepTime, Dial: net.Dial}
	owner, err := core.New(core.Config{Seed: 1, Settings: s.Settings, Limits: core.Limits{Shards: s.Sections}, Clock: c.Clock,
		Callers: map[string]core.Caller{platform.Scheme: frames, opensearch.Scheme: api}, Subscribe: func() {}, Asked: "lab",
		Planner: c.Planner, Firsts: cfg.Firsts(), Schemes: map[string]bool{opensearch.Scheme: true}, Retained: s.Memory, Gate: s.Gate})
	if err != nil {
		return nil, err
	}
	c.owner, frames.Owner, api.Owner = owner, owner, owner
	c.front = &opensearch.Front{Config: cfg, Owner: owner, Clock: c.Clock}
	go owner.Run()
	var list []core.Node
	for _, n := range s.Nodes {
		l := net.Listen(n.ID)
		c.ends = append(c.ends, func() { l.Close() })
		scheme := opensearch.Scheme
		if n.Scheme == platform.Scheme {
			scheme = platform.Scheme
			go n.Frames(l)
		} else {
			go n.Fleet.API(l)
		}
		list = append(list, core.Node{Replica: harepass.Replica{ID: n.ID, Cell: n.Cell}, Address: n.ID, Scheme: scheme})
	}
	owner.Listed("lab", harepass.ListFull, list)
	<-owner.Started()
	c.ends = append(c.ends, func() { owner.Stop(); frames.Close(); api.Close() })
	return c, nil
}

// Close ends the coordinator, then the nodes.
func (c *Coordinator) Close() {
	for i := range c.ends {
		c.ends[len(c.ends)-1-i]()
	}
}

// Search asks the front, as a client would.
func (c *Coordinator) Search(target string, body any) (status int, answer []byte) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // the laboratory's own
	}
	m := c.front.Handle(&http1.Message{Method: "POST", Target: target, Header: textproto.MIMEHeader{}, Body: data}, make(chan struct{}))
	return m.Status, m.Body
}
