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

// The replicas that answer have the first ring positions to themselves. Clients query only the shards whose holders
// are all among them, so that no part goes to an endpoint that does not answer.
const (
	// replicationFactor is how many ring positions hold a shard.
	replicationFactor = 3
	// maxReplicaPositions is how many ring positions the replicas that answer have at most.
	maxReplicaPositions = 12
	// minReplicasForClients is how many replicas it takes for a shard that they alone hold.
	minReplicasForClients = 2*replicationFactor - 1

	// partDuration is how long a replica takes for a part.
	partDuration = 2 * time.Millisecond
	// unreachableAddress is the address of endpoints that do not answer.
	unreachableAddress = "127.0.0.1:1"
	// drainGrace is how long after it has been notified of a drain a coordinator may still send to the replica, by the
	// platform's rules.
	drainGrace = time.Second
	// drainSlack is added to drainGrace for delays on the way between a coordinator and the record of the part.
	drainSlack = 50 * time.Millisecond

	// nameFactor spreads the numbers of endpoints over all names.
	nameFactor = 2654435761
)

// makeEndpoints returns a fleet's endpoint list: first the replicas that answer, at their addresses.
func makeEndpoints(plan *Plan, addresses []string) []fake.Endpoint {
	replicaPositions := plan.replicaPositions()
	otherPositions := max(1, plan.ringSize()-replicaPositions)
	var endpoints []fake.Endpoint
	for i := range plan.Endpoints {
		endpoint := fake.Endpoint{
			Name: fmt.Sprintf("s-%08x", uint32(i+1)*nameFactor), Address: unreachableAddress,
			Zone: zoneName(i % plan.Zones), Type: "m2", Status: fake.StatusInService, Weight: 1,
		}
		if i < len(addresses) {
			endpoint.Address, endpoint.Group = addresses[i], i%replicaPositions
		} else {
			endpoint.Group = replicaPositions + (i-len(addresses))%otherPositions
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

// receivedPart is a part that reached a replica while the list's source said that it takes none.
type receivedPart struct {
	Member  string // the sender
	Replica int
	At      time.Time
}

// replicas are the fakes of replicas that answer, and what they have received. Its methods may be called by any
// goroutine.
type replicas struct {
	listeners []net.Listener // by replica

	mu                    sync.Mutex
	queries               map[string]struct{} // queries of which some part was received, by id
	unavailable           map[int]bool        // replicas that take no parts, as the list's source says
	partsWhileUnavailable []receivedPart
	partCount             int
	memberByOrigin        map[string]string // members by the origin in their queries' ids
}

// openReplicas starts count replicas and returns their addresses.
func openReplicas(count int) (*replicas, []string, error) {
	r := &replicas{queries: map[string]struct{}{}, unavailable: map[int]bool{}, memberByOrigin: map[string]string{}}
	var addresses []string
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			r.close()
			return nil, nil, err
		}
		replica := &fake.Replicas{
			Script: func(int, int) fake.Reply { return fake.Reply{After: partDuration} },
			OnPart: func(part fake.Part, _ fake.Kind) { r.recordPart(i, part.ID) },
		}
		go replica.ServeFrames(listener) // ends when close closes the listener
		r.listeners = append(r.listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	return r, addresses, nil
}

// close closes the replicas' listeners.
func (r *replicas) close() {
	for _, listener := range r.listeners {
		listener.Close()
	}
}

// recordPart notes a part that reached a replica.
func (r *replicas) recordPart(replica int, id string) {
	query, _, _ := strings.Cut(id, ".")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partCount++
	r.queries[query] = struct{}{}
	if r.unavailable[replica] {
		part := receivedPart{r.memberOf(query), replica, time.Now()}
		r.partsWhileUnavailable = append(r.partsWhileUnavailable, part)
	}
}

// memberOf returns the member to which a query was sent. It is to be called under the lock.
func (r *replicas) memberOf(query string) string {
	for origin, member := range r.memberByOrigin {
		if strings.Contains(query, "-"+origin+"-") {
			return member
		}
	}
	return "unknown member"
}

// parts is how many parts were received.
func (r *replicas) parts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.partCount
}

// hasReceived reports whether some part of a query was received.
func (r *replicas) hasReceived(query string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, received := r.queries[query]
	return received
}

// setAvailable notes whether some replicas take parts, as the list's source says. They answer in either case.
func (r *replicas) setAvailable(available bool, numbers ...int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range numbers {
		r.unavailable[i] = !available
	}
}

// openClients starts the clients of a member, which query the shards that only these replicas hold.
func (r *replicas) openClients(
	plan *Plan, settings []byte, member, address string,
) (*faultinjection.ClientPool, error) {
	r.mu.Lock()
	r.memberByOrigin[faultinjection.QueryOrigin(address)] = member
	r.mu.Unlock()
	var shards []int
	for shard := replicationFactor - 1; shard <= plan.replicaPositions()-replicationFactor; shard++ {
		shards = append(shards, shard)
	}
	return faultinjection.NewClientPool(plan.Clients, address, settings, shards, r.hasReceived)
}
