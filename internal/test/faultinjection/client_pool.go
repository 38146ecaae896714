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
	// maxThinkTime bounds the time of a client between two requests.
	maxThinkTime = 20 * time.Millisecond
	// maxAttempts is how often a client sends a request that its coordinator has not forwarded.
	maxAttempts = 3
)

// Outcomes of requests besides the status of an answer. Their values are in journal entries.
const (
	OutcomeConnectFailed   = "refused" // the connection did not come up
	OutcomeLost            = "lost"    // read by a coordinator and never answered
	OutcomeDuplicateAnswer = "twice"   // answered, and answered again
	OutcomeWrongAnswer     = "untrue"  // answered with what no replica has served
)

// ClientPool is clients that keep their connections and send one query after another until Stop.
type ClientPool struct {
	address   string // of the coordinator
	tenant    string
	forwarded func(queryID string) bool      // reports whether a replica was asked for some part of a query
	nextQuery func(client, number int) query // what a client asks, by its number and the query's
	stop      chan struct{}                  // closed by Stop
	running   sync.WaitGroup

	mu           sync.Mutex
	outcomes     map[string]int // how many requests ended in each way
	unanswered   int            // connections that ended under a request
	notForwarded int            // requests on such connections that no replica was asked for
}

// NewClientPool starts clients of the coordinator at an address, by the classes and the first tenant of a site's
// settings, for some shards. forwarded reports whether a replica was asked for some part of a query; it is called by
// several goroutines. An error says that the settings cannot be used. Stop ends the clients.
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

// Stop lets all clients finish the request that is open, and waits for them. It is to be called once.
func (p *ClientPool) Stop() {
	close(p.stop)
	p.running.Wait()
}

// stopped reports whether the clients are to begin no further request.
func (p *ClientPool) stopped() bool {
	select {
	case <-p.stop:
		return true
	default:
		return false
	}
}

// Outcomes counts how requests have ended so far, by HTTP status or by one of the other outcomes.
func (p *ClientPool) Outcomes() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.outcomes)
}

// Unanswered counts the connections that ended under a request without an answer, and how many of these requests were
// never forwarded.
func (p *ClientPool) Unanswered() (unanswered, notForwarded int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unanswered, p.notForwarded
}

// count counts one more request with an outcome.
func (p *ClientPool) count(outcome string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes[outcome]++
}

// countUnanswered counts a connection that ended under a request.
func (p *ClientPool) countUnanswered(forwarded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unanswered++
	if !forwarded {
		p.notForwarded++
	}
}

// countAnswer counts an answer with its HTTP status, and what is wrong with it.
func (p *ClientPool) countAnswer(q query, a answer, status string) {
	p.count(status)
	if a.duplicated {
		p.count(OutcomeDuplicateAnswer)
	}
	if status == "200" && !a.isCorrectFor(q) {
		p.count(OutcomeWrongAnswer)
	}
}

// addressToID makes a part of an ID of an address. It takes all of the address: processes have loopback addresses of
// their own and may have the same port.
var addressToID = strings.NewReplacer(".", "-", ":", "-")

// QueryOrigin is the part of a query's ID that tells the address to which it was sent. The ID is the name of the class,
// this, the number of the client and that of the query, with hyphens between: "route-lookup-127-0-2-1-4711-0-17".
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

// sendQuery sends a query until there is an answer; as clients do, again only where no replica was asked.
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
