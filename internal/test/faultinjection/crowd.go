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
	maxThinkTime      = 20 * time.Millisecond   // of a client between two requests
	clientTimeout     = 2900 * time.Millisecond // that requests state
	connectionTimeout = 10 * time.Second        // with a connection that says nothing
	maxAttempts       = 3                       // of a request that was turned back unheard
)

// Crowd are clients that keep their connections and ask all the time, each one request at a time.
type ClientPool struct {
	address   string
	tenant    string
	forwarded func(query string) bool // whether a node was asked for some part of it
	nextQuery func(who, i int) query
	stop      chan struct{}
	running   sync.WaitGroup

	mu           sync.Mutex
	outcomes     map[string]int
	unanswered   int // connections that ended under a request
	notForwarded int // of these, whose request no node was asked for
}

// Crowd lets so many clients begin.
func (h *Host) StartClients(n int) *ClientPool {
	return newClientPool(n, h.ClientListener.Addr().String(), h.site.tenant, h.Forwarded, func(_, i int) query { return h.query(i) })
}

// question is the i-th question of each client: each class in turn, of one section, or of two far apart where an answer in
// part will do.
func (h *Host) query(i int) query {
	c := h.site.classes[i%len(h.site.classes)]
	if c.allowsPartial() {
		return query{c, []int{0, 4}}
	}
	return query{c, []int{1}}
}

// newCrowd lets so many clients ask a coordinator at an address; sent tells whether a node was asked for some part of a query.
func newClientPool(n int, address, tenant string, sent func(string) bool, ask func(who, i int) query) *ClientPool {
	c := &ClientPool{address: address, tenant: tenant, forwarded: sent, nextQuery: ask, stop: make(chan struct{}), outcomes: map[string]int{}}
	for i := range n {
		c.running.Go(func() { c.runClient(i) })
	}
	return c
}

// End lets all finish what they have asked.
func (c *ClientPool) Stop() {
	close(c.stop)
	c.running.Wait()
}

// ended tells whether the crowd is to end.
func (c *ClientPool) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// Outcomes of requests besides the status of an answer.
const (
	OutcomeConnectFailed   = "refused" // the connection never came up
	OutcomeLost            = "lost"    // heard and never answered
	OutcomeDuplicateAnswer = "twice"   // answered again
	OutcomeWrongAnswer     = "untrue"  // answered with what no node has served
)

// Tally counts how requests have ended, by status or by one of the other outcomes.
func (c *ClientPool) Outcomes() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.outcomes)
}

// TurnedBack is how many connections ended under a request without a word, and how many of these requests were never sent on.
func (c *ClientPool) Unanswered() (unanswered, unsent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered, c.notForwarded
}

func (c *ClientPool) count(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[what]++
}

// name makes a part of an id of an address: of all of it, since processes have loopback addresses of their own and may have
// the same port.
var addressToID = strings.NewReplacer(".", "-", ":", "-")

// client is one of them: it asks until the crowd ends.
func (c *ClientPool) runClient(who int) {
	client := &httpClient{address: c.address}
	defer client.disconnect()
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-time.After(rand.N(maxThinkTime)):
		}
		q := c.nextQuery(who, i)
		c.sendQuery(client, q.class.queryID(fmt.Sprintf("%s-%d-%d", addressToID.Replace(c.address), who, i)), q)
	}
}

// ask asks until there is an answer, as clients do: again only where the request was not heard.
func (c *ClientPool) sendQuery(client *httpClient, id string, q query) {
	text := q.request(id, c.tenant)
	for range maxAttempts {
		answer, status, err := client.roundTrip(text)
		if err == nil {
			c.count(status)
			if answer.duplicated {
				c.count(OutcomeDuplicateAnswer)
			}
			if status == "200" && !answer.isCorrectFor(q) {
				c.count(OutcomeWrongAnswer)
			}
			return
		}
		client.disconnect()
		if status == OutcomeConnectFailed {
			c.count(status)
			return
		}
		sent := c.forwarded(id)
		c.mu.Lock()
		if c.unanswered++; !sent {
			c.notForwarded++
		}
		c.mu.Unlock()
		if sent {
			break
		}
	}
	c.count(OutcomeLost)
}
