// Package endtoend has whole coordinators in this process before emulated map nodes, and holds their answers against what the
// nodes held. On an injected clock the same events play out the same way every time.
package endtoend

import (
	"encoding/json"
	"net/textproto"
	"slices"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/decide/twophase"
	"harepass/internal/http1"
	"harepass/internal/opensearch"
	"harepass/internal/platform"
	"harepass/internal/test/fake"
)

// Node is an emulated map node. Its address on the network in memory is its ID.
type Node struct {
	fake.Replicas
	ID     string
	Cell   int
	Scheme string // that it speaks; the OpenSearch-style API if empty
}

// Site is what a coordinator is set up for.
type Site struct {
	Settings scatter.Settings
	Sections int
	Indices  map[string]*opensearch.Index
	Memory   int // bytes for retained values
	Nodes    []*Node
	Gate     core.Admitter // nil admits all
}

// Coordinator is a whole coordinator in this process: the owner, its callers and its front, with sockets in memory
// towards the nodes.
type Coordinator struct {
	Planner *twophase.Planner // the owner's: not to be touched while it runs
	Clock   core.Clock

	owner   *core.Coordinator
	front   *opensearch.Front
	closers []func()
}

const (
	connectTimeout = 250 * time.Millisecond
	quietTimeout   = 300 * time.Millisecond // of a connection on which answers are awaited in vain
	keepAlive      = 30 * time.Second
	framesStreams  = 32 // calls that a connection carries at a time
	listSource     = "testbed"
)

// Start starts the nodes and the coordinator.
func (s Site) Start() (*Coordinator, error) {
	cfg := &opensearch.Config{Listen: "memory", SectionField: "section", Indices: s.Indices}
	if err := cfg.Check(s.Settings, s.Sections); err != nil {
		return nil, err
	}
	c := &Coordinator{Clock: core.SystemClock(), Planner: twophase.New(s.Memory)}
	net := &fake.Network{}
	frames := &platform.Caller{CallsPerConn: framesStreams, ConnectTimeout: connectTimeout, ResponseTimeout: quietTimeout, KeepAlive: keepAlive, Dial: net.Dial}
	api := &opensearch.Caller{Config: cfg, ConnectTimeout: connectTimeout, KeepAlive: keepAlive, Dial: net.Dial}
	owner, err := core.New(core.Config{Seed: 1, Settings: s.Settings, Limits: core.Limits{Shards: s.Sections}, Clock: c.Clock,
		Callers: map[string]core.Caller{platform.Scheme: frames, opensearch.Scheme: api}, Subscribe: func() {}, PolledSource: listSource,
		Planner: c.Planner, TwoPhaseClasses: cfg.TwoPhaseClasses(), TwoPhaseSchemes: map[string]bool{opensearch.Scheme: true}, CacheBytes: s.Memory, Admitter: s.Gate})
	if err != nil {
		return nil, err
	}
	c.owner, frames.Reporter, api.Reporter = owner, owner, owner
	c.front = &opensearch.Front{Config: cfg, Coordinator: owner, Clock: c.Clock}
	go owner.Run()
	owner.UpdateEndpoints(listSource, scatter.FullUpdate, c.serveNodes(net, s.Nodes))
	<-owner.Started()
	c.closers = append(c.closers, func() { owner.Stop(); frames.Close(); api.Close() })
	return c, nil
}

// serveNodes has the nodes listen on the network in memory, and returns them as lists have them.
func (c *Coordinator) serveNodes(net *fake.Network, nodes []*Node) (list []core.Endpoint) {
	for _, n := range nodes {
		listener := net.Listen(n.ID)
		c.closers = append(c.closers, func() { listener.Close() })
		scheme := opensearch.Scheme
		if n.Scheme == platform.Scheme {
			scheme = platform.Scheme
			go n.ServeFrames(listener)
		} else {
			go n.ServeAPI(listener)
		}
		list = append(list, core.Endpoint{Replica: scatter.Replica{ID: n.ID, RingPosition: n.Cell}, Address: n.ID, Scheme: scheme})
	}
	return list
}

// Close ends the coordinator, then the nodes.
func (c *Coordinator) Close() {
	for _, closer := range slices.Backward(c.closers) {
		closer()
	}
}

// Search asks the front, as a client would.
func (c *Coordinator) Search(target string, body any) (status int, answer []byte) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // the body is the caller's own and has to be fit for JSON
	}
	m := c.front.Handle(&http1.Message{Method: "POST", Target: target, Header: textproto.MIMEHeader{}, Body: data}, make(chan struct{}))
	return m.Status, m.Body
}
