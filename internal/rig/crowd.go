package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	gap    = 20 * time.Millisecond
	budget = 2900 * time.Millisecond
	giveUp = 10 * time.Second // with a connection that says nothing
	tries  = 3                // of a request that was turned back unheard

	shareSlack = 1e-3 // rounding in a query's weights
)

// Crowd are clients that keep their connections and ask all the time, each one request at a time.
type Crowd struct {
	address  string
	tenant   string
	sent     func(query string) bool // whether a node was asked for some part of it
	question func(who, i int) question
	stop     chan struct{}
	wg       sync.WaitGroup

	mu     sync.Mutex
	tally  map[string]int
	unsure int
	back   int
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

// Tally is how requests have ended: by status, or "refused" for a connection that never came up, "lost" for a request that
// was heard and never answered, "twice" for one answered again, "untrue" for one answered with what no node has served.
func (c *Crowd) Tally() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := map[string]int{}
	for k, n := range c.tally {
		t[k] = n
	}
	return t
}

// TurnedBack is how many connections ended under a request without a word, and how many of these requests were never sent on.
func (c *Crowd) TurnedBack() (unsure, unheard int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unsure, c.back
}

func (c *Crowd) count(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally[what]++
}

// request words the question, as clients do: equal weights, rounded, and the key where its class has one.
func (q question) request(id, tenant string) string {
	var parts []string
	for _, s := range q.sections {
		parts = append(parts, fmt.Sprintf(`{"slice":%d,"mass":%.6f}`, s, 1/float64(len(q.sections))))
	}
	body, header := fmt.Sprintf(`{"slices":[%s],"filter":"f"}`, strings.Join(parts, ",")), ""
	if key := q.class.key(id); key != "" {
		header = "Idempotency-Key: " + key + "\r\n"
	}
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Caller: %s\r\nX-Budget: %dm\r\n%sContent-Length: %d\r\n\r\n%s",
		id, q.class.name, tenant, budget.Milliseconds(), header, len(body), body)
}

// name makes a part of an id of an address: of all of it, since processes have loopback addresses of their own and may have
// the same port.
var name = strings.NewReplacer(".", "-", ":", "-")

func (c *Crowd) client(who int) {
	w := &visitor{address: c.address}
	defer w.leave()
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-time.After(rand.N(gap)):
		}
		q := c.question(who, i)
		c.ask(w, q.class.id(fmt.Sprintf("%s-%d-%d", name.Replace(c.address), who, i)), q)
	}
}

// visitor is a client with its connection.
type visitor struct {
	address string
	conn    net.Conn
	in      *bufio.Reader
}

func (w *visitor) leave() {
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
}

// ask asks until there is an answer, as clients do: again only where the request was not heard.
func (c *Crowd) ask(w *visitor, id string, q question) {
	text := q.request(id, c.tenant)
	for range tries {
		answer, status, err := w.once(text)
		if err == nil {
			c.count(status)
			if answer.twice {
				c.count("twice")
			}
			if status == "200" && !answer.holds(q) {
				c.count("untrue")
			}
			return
		}
		w.leave()
		if status == "refused" {
			c.count(status)
			return
		}
		sent := c.sent(id)
		c.mu.Lock()
		if c.unsure++; !sent {
			c.back++
		}
		c.mu.Unlock()
		if sent {
			break
		}
	}
	c.count("lost")
}

// answer is what a request was served with.
type answer struct {
	Entire bool
	Items  []struct {
		Slice int
		Body  string
	}
	twice bool
}

// holds tells whether the values are those that nodes serve for these sections, each at most once, as many of them as make
// an answer, and as many as make it whole where it says so.
func (a answer) holds(q question) bool {
	seen := map[int]bool{}
	for _, v := range a.Items {
		if seen[v.Slice] || !slices.Contains(q.sections, v.Slice) || v.Body != fmt.Sprint("v", v.Slice) {
			return false
		}
		seen[v.Slice] = true
	}
	share := float64(len(seen))/float64(len(q.sections)) + shareSlack
	return share >= min(q.class.floor, q.class.need) && (!a.Entire || share >= q.class.need)
}

// once sends the request and takes its answer.
func (w *visitor) once(text string) (a answer, status string, err error) {
	if w.conn == nil {
		if w.conn, err = net.DialTimeout("tcp", w.address, giveUp); err != nil {
			w.conn = nil
			return a, "refused", err
		}
		w.in = bufio.NewReader(w.conn)
	}
	w.conn.SetDeadline(time.Now().Add(giveUp))
	if _, err := io.WriteString(w.conn, text); err != nil {
		return a, "", err
	}
	res, err := http.ReadResponse(w.in, nil)
	if err != nil {
		return a, "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode == http.StatusOK {
		err = json.Unmarshal(data, &a)
	}
	a.twice = w.in.Buffered() > 0
	if res.Close {
		w.leave()
	}
	return a, fmt.Sprint(res.StatusCode), err
}
