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
	maxPause = 20 * time.Millisecond   // of a client between two requests
	budget   = 2900 * time.Millisecond // that requests state
	giveUp   = 10 * time.Second        // with a connection that says nothing
	maxTries = 3                       // of a request that was turned back unheard
)

// Crowd are clients that keep their connections and ask all the time, each one request at a time.
type Crowd struct {
	address  string
	tenant   string
	sent     func(query string) bool // whether a node was asked for some part of it
	question func(who, i int) question
	stop     chan struct{}
	wg       sync.WaitGroup

	mu         sync.Mutex
	tally      map[string]int
	unanswered int // connections that ended under a request
	unsent     int // of these, whose request no node was asked for
}

// Crowd lets so many clients begin.
func (h *Host) Crowd(n int) *Crowd {
	return newCrowd(n, h.Clients.Addr().String(), h.site.tenant, h.Sent, func(_, i int) question { return h.question(i) })
}

// question is the i-th question of each client: each class in turn, of one section, or of two far apart where an answer in
// part will do.
func (h *Host) question(i int) question {
	c := h.site.classes[i%len(h.site.classes)]
	if c.partial() {
		return question{c, []int{0, 4}}
	}
	return question{c, []int{1}}
}

// newCrowd lets so many clients ask a coordinator at an address; sent tells whether a node was asked for some part of a query.
func newCrowd(n int, address, tenant string, sent func(string) bool, ask func(who, i int) question) *Crowd {
	c := &Crowd{address: address, tenant: tenant, sent: sent, question: ask, stop: make(chan struct{}), tally: map[string]int{}}
	for i := range n {
		c.wg.Go(func() { c.client(i) })
	}
	return c
}

// End lets all finish what they have asked.
func (c *Crowd) End() {
	close(c.stop)
	c.wg.Wait()
}

// ended tells whether the crowd is to end.
func (c *Crowd) ended() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// Outcomes of requests besides the status of an answer.
const (
	OutcomeRefused = "refused" // the connection never came up
	OutcomeLost    = "lost"    // heard and never answered
	OutcomeTwice   = "twice"   // answered again
	OutcomeUntrue  = "untrue"  // answered with what no node has served
)

// Tally counts how requests have ended, by status or by one of the other outcomes.
func (c *Crowd) Tally() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.tally)
}

// TurnedBack is how many connections ended under a request without a word, and how many of these requests were never sent on.
func (c *Crowd) TurnedBack() (unanswered, unsent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered, c.unsent
}

func (c *Crowd) count(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally[what]++
}

// name makes a part of an id of an address: of all of it, since processes have loopback addresses of their own and may have
// the same port.
var name = strings.NewReplacer(".", "-", ":", "-")

// client is one of them: it asks until the crowd ends.
func (c *Crowd) client(who int) {
	client := &httpClient{address: c.address}
	defer client.disconnect()
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-time.After(rand.N(maxPause)):
		}
		q := c.question(who, i)
		c.ask(client, q.class.id(fmt.Sprintf("%s-%d-%d", name.Replace(c.address), who, i)), q)
	}
}

// ask asks until there is an answer, as clients do: again only where the request was not heard.
func (c *Crowd) ask(client *httpClient, id string, q question) {
	text := q.request(id, c.tenant)
	for range maxTries {
		answer, status, err := client.roundTrip(text)
		if err == nil {
			c.count(status)
			if answer.twice {
				c.count(OutcomeTwice)
			}
			if status == "200" && !answer.holds(q) {
				c.count(OutcomeUntrue)
			}
			return
		}
		client.disconnect()
		if status == OutcomeRefused {
			c.count(status)
			return
		}
		sent := c.sent(id)
		c.mu.Lock()
		if c.unanswered++; !sent {
			c.unsent++
		}
		c.mu.Unlock()
		if sent {
			break
		}
	}
	c.count(OutcomeLost)
}
