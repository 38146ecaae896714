package faultinjection

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	// maxThinkTime is the upper bound of a client's random pause before each request.
	maxThinkTime = 20 * time.Millisecond
	// maxAttempts is how many times in all a client sends a request that its coordinator has not forwarded.
	maxAttempts = 3
)

// Outcomes of requests besides the HTTP status of an answer. Journal entries contain their values.
const (
	OutcomeConnectFailed   = "refused" // the client could not open a connection
	OutcomeLost            = "lost"    // sent to a coordinator and never answered
	OutcomeDuplicateAnswer = "twice"   // bytes followed the answer on the connection
	OutcomeWrongAnswer     = "untrue"  // its parts differ from what replicas serve, or are too few
)

// ClientPool is a set of clients. Each keeps its connection open and sends one query after another until Stop.
type ClientPool struct {
	address   string // of the coordinator
	tenant    string
	forwarded func(queryID string) bool      // reports whether a replica has received a part of the query
	nextQuery func(client, number int) query // returns a client's next query, given the client's and the query's number
	stop      chan struct{}                  // closed by Stop
	running   sync.WaitGroup

	mu           sync.Mutex
	outcomes     map[string]int // number of requests by outcome
	unanswered   int            // connections that ended while a request was open
	notForwarded int            // requests on these connections of which no replica received a part
}

// NewClientPool starts clients of the coordinator at an address. Their queries take the classes and the first tenant
// from a site's settings and ask the given shards. forwarded reports whether a replica has received a part of a query;
// several goroutines call it. An error means that the settings cannot be used. Stop ends the clients.
func NewClientPool(
	clients int, address string, settings []byte, shards []int, forwarded func(queryID string) bool,
) (*ClientPool, error) {
	site, err := readSite(settings)
	if err != nil {
		return nil, err
	}
	nextQuery := func(client, number int) query {
		q := site.query(client, number, len(shards))
		for i, shard := range q.shards {
			q.shards[i] = shards[shard]
		}
		return q
	}
	return newClientPool(clients, address, site.tenant, forwarded, nextQuery), nil
}

// newClientPool starts clients of the coordinator at an address.
func newClientPool(
	clients int, address, tenant string, forwarded func(string) bool, nextQuery func(client, number int) query,
) *ClientPool {
	p := &ClientPool{
		address:   address,
		tenant:    tenant,
		forwarded: forwarded,
		nextQuery: nextQuery,
		stop:      make(chan struct{}),
		outcomes:  map[string]int{},
	}
	for i := range clients {
		p.running.Go(func() { p.runClient(i) })
	}
	return p
}

// Stop lets each client finish its open request, and waits until all clients have ended. It must be called only once.
func (p *ClientPool) Stop() {
	close(p.stop)
	p.running.Wait()
}

// stopped reports whether Stop was called, after which clients begin no further request.
func (p *ClientPool) stopped() bool {
	select {
	case <-p.stop:
		return true
	default:
		return false
	}
}

// Outcomes returns the number of requests that have ended so far, by HTTP status or other outcome.
func (p *ClientPool) Outcomes() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.outcomes)
}

// Unanswered returns how many connections ended before the answer to an open request, and how many of these requests
// the coordinator had not forwarded.
func (p *ClientPool) Unanswered() (unanswered, notForwarded int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unanswered, p.notForwarded
}

// count adds one request to an outcome.
func (p *ClientPool) count(outcome string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes[outcome]++
}

// countUnanswered counts a connection that ended while a request was open.
func (p *ClientPool) countUnanswered(forwarded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unanswered++
	if !forwarded {
		p.notForwarded++
	}
}

// countAnswer counts an answer under its HTTP status, and also under each outcome that describes a fault in it.
func (p *ClientPool) countAnswer(q query, a answer, status string) {
	p.count(status)
	if a.duplicated {
		p.count(OutcomeDuplicateAnswer)
	}
	if status == "200" && !a.isCorrectFor(q) {
		p.count(OutcomeWrongAnswer)
	}
}

// addressToID turns an address into a component of a query ID. It includes the IP address because each process has its
// own loopback address and two processes may use the same port.
var addressToID = strings.NewReplacer(".", "-", ":", "-")

// QueryOrigin returns the component of a query's ID that identifies the coordinator's address. The ID joins the class
// name, this component, the client's number and the query's number by hyphens: "route-lookup-127-0-2-1-4711-0-17".
func QueryOrigin(address string) string { return addressToID.Replace(address) }

// runClient sends the queries of one client until the pool is stopped.
func (p *ClientPool) runClient(number int) {
	client := &httpClient{address: p.address}
	defer client.disconnect()
	for i := 0; ; i++ {
		select {
		case <-p.stop:
			return
		case <-time.After(rand.N(maxThinkTime)):
		}
		q := p.nextQuery(number, i)
		p.sendQuery(client, q.class.queryID(fmt.Sprintf("%s-%d-%d", QueryOrigin(p.address), number, i)), q)
	}
}

// sendQuery sends a query and records its outcome. Like a production client, it sends the query again only if no
// replica has received a part of it.
func (p *ClientPool) sendQuery(client *httpClient, id string, q query) {
	request := q.request(id, p.tenant)
	for range maxAttempts {
		a, status, err := client.roundTrip(request)
		if err == nil {
			p.countAnswer(q, a, status)
			return
		}
		client.disconnect()
		if status == OutcomeConnectFailed {
			p.count(status)
			return
		}
		forwarded := p.forwarded(id)
		p.countUnanswered(forwarded)
		if forwarded {
			break
		}
	}
	p.count(OutcomeLost)
}
