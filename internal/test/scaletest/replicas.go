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

// The first ring positions are reserved for the replicas that answer. Clients query only shards whose holders are all
// at these positions, so that no part is sent to an endpoint that does not answer.
const (
	// replicationFactor is the number of ring positions that hold a shard.
	replicationFactor = 3
	// maxReplicaPositions limits the number of ring positions of the replicas that answer.
	maxReplicaPositions = 12
	// minReplicasForClients is the number of replicas needed for a shard that is held only by replicas that answer.
	minReplicasForClients = 2*replicationFactor - 1

	// partDuration is how long a replica takes to answer a part.
	partDuration = 2 * time.Millisecond
	// unreachableAddress is the address of endpoints that do not answer.
	unreachableAddress = "127.0.0.1:1"
	// drainGrace is how long a coordinator may still send to a replica after it was notified of the replica's drain,
	// according to the platform's rules.
	drainGrace = time.Second
	// drainSlack is added to drainGrace for delays between a coordinator's sending of a part and its record here.
	drainSlack = 50 * time.Millisecond

	// nameFactor spreads the names of endpoints, which derive from their numbers, over all 32-bit values.
	nameFactor = 2654435761
)

// makeEndpoints returns a fleet's endpoint list. The replicas that answer, at the given addresses, come first.
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

// receivedPart is a part that reached a replica while the publisher listed the replica as out of service.
type receivedPart struct {
	Member  string // the sender
	Replica int
	At      time.Time
}

// replicas holds the fake replicas that answer, and records the parts that they receive. Its methods are safe for
// concurrent use.
type replicas struct {
	listeners []net.Listener // by replica

	mu                    sync.Mutex
	queries               map[string]struct{} // ids of queries of which any part was received
	unavailable           map[int]bool        // replicas that the publisher lists as out of service
	partsWhileUnavailable []receivedPart
	partCount             int
	memberByOrigin        map[string]string // member for each origin in query ids
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

// recordPart records a part that reached a replica.
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

// memberOf returns the member to which a query was sent. The caller must hold the lock.
func (r *replicas) memberOf(query string) string {
	for origin, member := range r.memberByOrigin {
		if strings.Contains(query, "-"+origin+"-") {
			return member
		}
	}
	return "unknown member"
}

// parts returns the number of received parts.
func (r *replicas) parts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.partCount
}

// hasReceived reports whether any part of a query was received.
func (r *replicas) hasReceived(query string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, received := r.queries[query]
	return received
}

// setAvailable records whether the publisher lists the replicas with the given numbers as in service. They answer in
// either case.
func (r *replicas) setAvailable(available bool, numbers ...int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range numbers {
		r.unavailable[i] = !available
	}
}

// openClients starts the clients of a member, which query only shards whose holders are all replicas that answer.
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
