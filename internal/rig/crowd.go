package rig

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	reports = "h-" // begins the ids of hazard reports
	gap     = 20 * time.Millisecond
	budget  = 2900 * time.Millisecond
	giveUp  = 10 * time.Second // with a connection that says nothing
	tries   = 3                // of a request that was turned back unheard
)

// Crowd are clients that keep their connections and ask all the time, each one request at a time.
type Crowd struct {
	host *Host
	stop chan struct{}
	wg   sync.WaitGroup

	mu     sync.Mutex
	tally  map[string]int
	unsure int
	back   int
}

// Crowd lets so many clients begin.
func (h *Host) Crowd(n int) *Crowd {
	c := &Crowd{host: h, stop: make(chan struct{}), tally: map[string]int{}}
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
// was heard and never answered, "twice" for one answered again.
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

// kinds are the classes in turn, with a body for each.
var kinds = []struct{ class, body string }{
	{"route-lookup", `{"slices":[{"slice":1,"mass":1}],"filter":"f"}`},
	{"hazard-report", `{"slices":[{"slice":1,"mass":1}],"filter":"f"}`},
	{"conditions-summary", `{"slices":[{"slice":0,"mass":0.5},{"slice":4,"mass":0.5}],"filter":"f"}`},
}

func (c *Crowd) client(who int) {
	w := &visitor{crowd: c}
	defer w.leave()
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-time.After(rand.N(gap)):
		}
		k := kinds[i%len(kinds)]
		w.ask(fmt.Sprintf("%s-%d-%d", k.class[:1], who, i), k.class, k.body)
	}
}

// visitor is a client with its connection.
type visitor struct {
	crowd *Crowd
	conn  net.Conn
	in    *bufio.Reader
}

func (w *visitor) leave() {
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
}

// ask asks until there is an answer, as clients do: again only where the request was not heard.
func (w *visitor) ask(id, class, body string) {
	text := fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Caller: kitakaze\r\nX-Budget: %dm\r\nContent-Length: %d\r\n\r\n%s",
		id, class, budget.Milliseconds(), len(body), body)
	for range tries {
		status, err := w.once(text)
		if err == nil {
			w.crowd.count(status)
			return
		}
		w.leave()
		if status == "refused" {
			w.crowd.count(status)
			return
		}
		sent := w.crowd.host.Sent(id)
		w.crowd.mu.Lock()
		if w.crowd.unsure++; !sent {
			w.crowd.back++
		}
		w.crowd.mu.Unlock()
		if sent {
			break
		}
	}
	w.crowd.count("lost")
}

// once sends the request and takes its answer.
func (w *visitor) once(text string) (status string, err error) {
	if w.conn == nil {
		if w.conn, err = net.DialTimeout("tcp", w.crowd.host.Clients.Addr().String(), giveUp); err != nil {
			w.conn = nil
			return "refused", err
		}
		w.in = bufio.NewReader(w.conn)
	}
	w.conn.SetDeadline(time.Now().Add(giveUp))
	if _, err := io.WriteString(w.conn, text); err != nil {
		return "", err
	}
	res, err := http.ReadResponse(w.in, nil)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, res.Body)
	res.Body.Close()
	if w.in.Buffered() > 0 {
		w.crowd.count("twice")
	}
	if res.Close {
		w.leave()
	}
	return fmt.Sprint(res.StatusCode), err
}
