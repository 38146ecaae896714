package scaletest

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"harepass/internal/test/fake"
	"harepass/internal/test/faultinjection"
)

// The nodes that answer have the first cells of the ring for themselves, so that clients that ask for the sections which only
// these hold reach nobody else.
const (
	mostNodeCells = 12
	reach         = 3           // cells that hold a section
	holders       = 2*reach - 1 // cells that it takes for a section that only nodes which answer hold

	partTakes   = 2 * time.Millisecond
	nobody      = "127.0.0.1:1" // where entries without a node are said to be
	sendingEnds = time.Second   // from the word that a node leaves until nothing is sent to it, as the rules have it
	sendSlack   = 50 * time.Millisecond
)

// makeEntries lists the fleet's data nodes: those that answer at some addresses first.
func makeEntries(plan *Plan, addresses []string) []fake.Endpoint {
	own, others := plan.nodeCells(), max(1, plan.cells()-plan.nodeCells())
	var list []fake.Endpoint
	for i := range plan.Entries {
		e := fake.Endpoint{Name: fmt.Sprintf("s-%08x", uint32(i+1)*2654435761), Address: nobody, Zone: zoneName(i % plan.Zones), Type: "m2",
			Status: fake.StatusInService, Weight: 1}
		if i < len(addresses) {
			e.Address, e.Group = addresses[i], i%own
		} else {
			e.Group = own + (i-len(addresses))%others
		}
		list = append(list, e)
	}
	return list
}

func zoneName(zone int) string { return fmt.Sprintf("z%d", zone) }

// send is a part that reached a node while the list's source said that it takes none.
type send struct {
	Member string
	Node   int
	At     time.Time
}

// nodes are the stand-ins that answer.
type nodes struct {
	listeners []net.Listener

	mu      sync.Mutex
	queries map[string]struct{}
	closed  map[int]bool // nodes that the source's list says take nothing
	sends   []send
	parts   int
	origins map[string]string // members by the origin in the ids of their queries
}

// openNodes starts so many.
func openNodes(count int) (*nodes, []string, error) {
	n := &nodes{queries: map[string]struct{}{}, closed: map[int]bool{}, origins: map[string]string{}}
	var addresses []string
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			n.close()
			return nil, nil, err
		}
		fleet := &fake.Replicas{Script: func(int, int) fake.Reply { return fake.Reply{After: partTakes} },
			OnPart: func(part fake.Part, _ fake.Kind) { n.heard(i, part.ID) }}
		go fleet.ServeFrames(l)
		n.listeners = append(n.listeners, l)
		addresses = append(addresses, l.Addr().String())
	}
	return n, addresses, nil
}

func (n *nodes) close() {
	for _, l := range n.listeners {
		l.Close()
	}
}

// heard notes a part that reached a node.
func (n *nodes) heard(node int, id string) {
	query, _, _ := strings.Cut(id, ".")
	n.mu.Lock()
	defer n.mu.Unlock()
	n.parts++
	n.queries[query] = struct{}{}
	if n.closed[node] {
		n.sends = append(n.sends, send{n.member(query), node, time.Now()})
	}
}

// member is whose query it is; under the lock.
func (n *nodes) member(query string) string {
	for origin, member := range n.origins {
		if strings.Contains(query, "-"+origin+"-") {
			return member
		}
	}
	return "nobody"
}

// sent tells whether some part of a query was sent.
func (n *nodes) sent(query string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, yes := n.queries[query]
	return yes
}

// takes notes whether nodes take parts, as the list's source says.
func (n *nodes) takes(yes bool, which ...int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, i := range which {
		n.closed[i] = !yes
	}
}

// ask lets clients ask a member for the sections that only these nodes hold.
func (n *nodes) ask(plan *Plan, settings []byte, member, address string) (*faultinjection.ClientPool, error) {
	n.mu.Lock()
	n.origins[faultinjection.QueryOrigin(address)] = member
	n.mu.Unlock()
	var sections []int
	for s := reach - 1; s <= plan.nodeCells()-reach; s++ {
		sections = append(sections, s)
	}
	return faultinjection.NewClientPool(plan.Clients, address, settings, sections, n.sent)
}
