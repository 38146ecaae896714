// Package endtoend runs whole coordinators in the current process against emulated map nodes, and checks their answers
// against the data that the nodes held. On an injected clock, the same events have the same results every time.
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

// Node is an emulated map node. Its ID is also its address on the in-memory network.
type Node struct {
	fake.Replicas
	ID     string
	Cell   int
	Scheme string // protocol that the node speaks; empty for the OpenSearch-style API
}

// Site is the configuration of a coordinator and its nodes.
type Site struct {
	Settings   scatter.Settings
	Sections   int
	Indices    map[string]*opensearch.Index
	CacheBytes int // bytes for retained values
	Nodes      []*Node
	Admitter   core.Admitter // nil admits every query
}

// Coordinator is a whole coordinator in the current process: the owner, its callers and its front. In-memory
// connections lead to the nodes.
type Coordinator struct {
	Planner *twophase.Planner // used by the owner: must not be accessed while the owner runs
	Clock   core.Clock

	owner   *core.Coordinator
	front   *opensearch.Front
	closers []func()
}

const (
	connectTimeout    = 250 * time.Millisecond
	responseTimeout   = 300 * time.Millisecond // longest silence of a connection while answers are awaited
	keepAlive         = 30 * time.Second
	frameCallsPerConn = 32 // concurrent calls on a connection
	listSource        = "testbed"
)

// Start starts the nodes and the coordinator, and waits until the coordinator has started.
func (s Site) Start() (*Coordinator, error) {
	cfg := &opensearch.Config{Listen: "memory", SectionField: "section", Indices: s.Indices}
	if err := cfg.Check(s.Settings, s.Sections); err != nil {
		return nil, err
	}
	c := &Coordinator{Clock: core.SystemClock(), Planner: twophase.New(s.CacheBytes)}
	net := &fake.Network{}
	frames := &platform.Caller{CallsPerConn: frameCallsPerConn, ConnectTimeout: connectTimeout,
		ResponseTimeout: responseTimeout, KeepAlive: keepAlive, Dial: net.Dial}
	api := &opensearch.Caller{Config: cfg, ConnectTimeout: connectTimeout, KeepAlive: keepAlive, Dial: net.Dial}
	owner, err := core.New(core.Config{
		Seed:            1,
		Settings:        s.Settings,
		Limits:          core.Limits{Shards: s.Sections},
		Clock:           c.Clock,
		Callers:         map[string]core.Caller{platform.Scheme: frames, opensearch.Scheme: api},
		Subscribe:       func() {},
		PolledSource:    listSource,
		Planner:         c.Planner,
		TwoPhaseClasses: cfg.TwoPhaseClasses(),
		TwoPhaseSchemes: map[string]bool{opensearch.Scheme: true},
		CacheBytes:      s.CacheBytes,
		Admitter:        s.Admitter,
	})
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

// serveNodes starts serving the nodes on the in-memory network, and returns their entries for an endpoint list.
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
		replica := scatter.Replica{ID: n.ID, RingPosition: n.Cell}
		list = append(list, core.Endpoint{Replica: replica, Address: n.ID, Scheme: scheme})
	}
	return list
}

// Close stops the coordinator, then closes the listeners of the nodes.
func (c *Coordinator) Close() {
	for _, closer := range slices.Backward(c.closers) {
		closer()
	}
}

// Search sends a search to the front, as a client does.
func (c *Coordinator) Search(target string, body any) (status int, answer []byte) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // callers must pass a body that JSON can encode
	}
	request := &http1.Message{Method: "POST", Target: target, Header: textproto.MIMEHeader{}, Body: data}
	m := c.front.Handle(request, make(chan struct{}))
	return m.Status, m.Body
}
