package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/textproto"
	"time"

	"harepass"
	"harepass/internal/core"
	"harepass/internal/http1"
)

const (
	hold      = 10 * time.Second // a watch that brings nothing ends after this
	listLimit = 2 * time.Second  // short enough for a second try within the 4 s that a reload may take
	listBody  = 4 << 20
)

// Source names discovery as a source of nodes.
const Source = "discovery"

// List is discovery's form of the list of nodes.
type List struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is one entry.
type Endpoint struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Group   int    `json:"group"`
	Status  string `json:"status"`
	SinceMS int64  `json:"since_ms"`
}

var states = map[string]harepass.ReplicaState{
	"in_service": harepass.Ready, "terminating": harepass.Draining, "terminated": harepass.Gone}

// Nodes gives the entries as the owner takes them.
func (l List) Nodes() ([]core.Node, error) {
	var nodes []core.Node
	for _, e := range l.Endpoints {
		state, ok := states[e.Status]
		if !ok || e.Name == "" {
			return nil, fmt.Errorf("platform: entry %q has status %q", e.Name, e.Status)
		}
		nodes = append(nodes, core.Node{Replica: harepass.Replica{ID: e.Name, Cell: e.Group, Zone: e.Zone, State: state,
			Since: time.Duration(e.SinceMS) * time.Millisecond}, Address: e.Address, Scheme: Scheme})
	}
	return nodes, nil
}

// Discovery keeps the owner's list as long as it is asked to.
type Discovery struct {
	Dial   http1.Dialer // nil for plain TCP
	Listed func(harepass.ListScope, []core.Node)

	address string // of Run alone
	asked   chan struct{}
	moved   chan string // the latest new address that Run has not seen
}

// NewDiscovery returns a Discovery for the service at an address; Listed has to be set before Run.
func NewDiscovery(address string) *Discovery {
	return &Discovery{address: address, asked: make(chan struct{}, 1), moved: make(chan string, 1)}
}

// Subscribe asks for the list and its changes. It does nothing while a subscription stands.
func (d *Discovery) Subscribe() {
	select {
	case d.asked <- struct{}{}:
	default:
	}
}

// Move takes the subscription to the service at another address. It is for one goroutine.
func (d *Discovery) Move(address string) {
	select { // a move that Run has not seen is overtaken
	case <-d.moved:
	default:
	}
	d.moved <- address
}

// Run serves subscriptions until ctx ends. Each begins with the whole list, goes on with watches,
// and ends with the first failed call, which the owner is told. A move ends the subscription too, but the next one
// begins at once, with the whole list: the new service counts by an index of its own.
func (d *Discovery) Run(ctx context.Context) {
	for {
		select {
		case <-d.asked:
		case d.address = <-d.moved:
		case <-ctx.Done():
			return
		}
		for d.subscription(ctx) {
		}
		if ctx.Err() != nil {
			return
		}
		select { // asked while the subscription stood: it was not needed then
		case <-d.asked:
		default:
		}
		d.Listed(harepass.ListRefused, nil)
	}
}

// subscription serves one subscription on a connection of its own. True means that it ended by a move.
func (d *Discovery) subscription(ctx context.Context) (moved bool) {
	ctx, cancel := context.WithCancel(ctx)
	watching := make(chan struct{})
	go func() {
		defer close(watching)
		select {
		case d.address = <-d.moved:
			moved = true
			cancel()
		case <-ctx.Done():
		}
	}()
	c := &http1.Client{Address: d.address, Dial: d.Dial, Limits: http1.Limits{Head: 16 << 10, Body: listBody}}
	err := d.follow(ctx, c)
	c.Close()
	cancel()
	<-watching
	if moved {
		slog.Info("discovery moved", "to", d.address)
	} else {
		slog.Info("discovery lost", "err", err)
	}
	return moved
}

// follow calls for the list and then for its changes until a call fails.
func (d *Discovery) follow(ctx context.Context, c *http1.Client) error {
	target, limit := "/registry/instances", listLimit
	for {
		list, err := call(ctx, c, target, limit)
		if err != nil {
			return err
		}
		nodes, err := list.Nodes()
		if err != nil {
			return err
		}
		scope := harepass.ListChanges
		if list.Snapshot {
			scope = harepass.ListFull
		}
		d.Listed(scope, nodes)
		target = fmt.Sprintf("/registry/instances?from=%d&hold_ms=%d", list.Index, hold.Milliseconds())
		limit = hold + listLimit
	}
}

func call(ctx context.Context, c *http1.Client, target string, limit time.Duration) (list List, err error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	m, _, err := c.Do(ctx, &http1.Message{Method: "GET", Target: target,
		Header: textproto.MIMEHeader{"Host": {c.Address}}})
	if err != nil {
		return list, err
	}
	if m.Status != 200 {
		return list, fmt.Errorf("platform: discovery answered %d", m.Status)
	}
	return list, json.Unmarshal(m.Body, &list)
}
