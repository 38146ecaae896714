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
	maxReplicaPositions   = 12
	replicationFactor     = 3                       // cells that hold a section
	minReplicasForClients = 2*replicationFactor - 1 // cells that it takes for a section that only nodes which answer hold

	partDuration       = 2 * time.Millisecond
	unreachableAddress = "127.0.0.1:1" // where entries without a node are said to be
	drainGrace         = time.Second   // from the word that a node leaves until nothing is sent to it, as the rules have it
	drainSlack         = 50 * time.Millisecond
)

// makeEntries lists the fleet's data nodes: those that answer at some addresses first.
func makeEndpoints(plan *Plan, addresses []string) []fake.Endpoint {
	own, others := plan.replicaPositions(), max(1, plan.ringSize()-plan.replicaPositions())
	var list []fake.Endpoint
	for i := range plan.Endpoints {
		e := fake.Endpoint{Name: fmt.Sprintf("s-%08x", uint32(i+1)*2654435761), Address: unreachableAddress, Zone: zoneName(i % plan.Zones), Type: "m2",
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
type receivedPart struct {
	Member  string
	Replica int
	At      time.Time
}

// nodes are the stand-ins that answer.
type replicas struct {
	listeners []net.Listener

	mu                    sync.Mutex
	queries               map[string]struct{}
	unavailable           map[int]bool // nodes that the source's list says take nothing
	partsWhileUnavailable []receivedPart
	partCount             int
	memberByOrigin        map[string]string // members by the origin in the ids of their queries
}

// openNodes starts so many.
func openReplicas(count int) (*replicas, []string, error) {
	n := &replicas{queries: map[string]struct{}{}, unavailable: map[int]bool{}, memberByOrigin: map[string]string{}}
	var addresses []string
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			n.close()
			return nil, nil, err
		}
		fleet := &fake.Replicas{Script: func(int, int) fake.Reply { return fake.Reply{After: partDuration} },
			OnPart: func(part fake.Part, _ fake.Kind) { n.recordPart(i, part.ID) }}
		go fleet.ServeFrames(l)
		n.listeners = append(n.listeners, l)
		addresses = append(addresses, l.Addr().String())
	}
	return n, addresses, nil
}

func (n *replicas) close() {
	for _, l := range n.listeners {
		l.Close()
	}
}

// heard notes a part that reached a node.
func (n *replicas) recordPart(node int, id string) {
	query, _, _ := strings.Cut(id, ".")
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partCount++
	n.queries[query] = struct{}{}
	if n.unavailable[node] {
		n.partsWhileUnavailable = append(n.partsWhileUnavailable, receivedPart{n.memberOf(query), node, time.Now()})
	}
}

// member is whose query it is; under the lock.
func (n *replicas) memberOf(query string) string {
	for origin, member := range n.memberByOrigin {
		if strings.Contains(query, "-"+origin+"-") {
			return member
		}
	}
	return "nobody"
}

// sent tells whether some part of a query was sent.
func (n *replicas) hasReceived(query string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, yes := n.queries[query]
	return yes
}

// takes notes whether nodes take parts, as the list's source says.
func (n *replicas) setAvailable(yes bool, which ...int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, i := range which {
		n.unavailable[i] = !yes
	}
}

// ask lets clients ask a member for the sections that only these nodes hold.
func (n *replicas) openClients(plan *Plan, settings []byte, member, address string) (*faultinjection.ClientPool, error) {
	n.mu.Lock()
	n.memberByOrigin[faultinjection.QueryOrigin(address)] = member
	n.mu.Unlock()
	var sections []int
	for s := replicationFactor - 1; s <= plan.replicaPositions()-replicationFactor; s++ {
		sections = append(sections, s)
	}
	return faultinjection.NewClientPool(plan.Clients, address, settings, sections, n.hasReceived)
}
