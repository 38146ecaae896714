package kit

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is an entry of discovery's list.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`

	changed int64 // index of the entry's last change
}

// List is an answer of discovery.
type List struct {
	Index     int64   `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// Discovery is one process of the discovery service, as the protocol page describes it. A call without a version gets
// the whole list; one with a version waits until there is something newer than that version, or until its time is over,
// and gets the changed entries, perhaps none.
type Discovery struct {
	C       *Case
	Address string
	Name    string // in the record

	mu      sync.Mutex
	index   int64
	entries []Entry
	changed chan struct{}
	server  *http.Server
	noted   map[string]bool
	conns   map[net.Conn]struct{}
	wait    time.Duration        // see Crowd
	turn    bool                 // see Crowd
	told    int64                // greatest index that an answer with it was written to anybody
	heard   map[string]time.Time // by connection: when its last answer was written
}

// StartDiscovery starts a process of the service at an address, or at a free one, whose index begins at first.
func (c *Case) StartDiscovery(name, address string, first int64, entries []Entry) *Discovery {
	d := &Discovery{C: c, Name: name, index: first, entries: append([]Entry{}, entries...),
		changed: make(chan struct{}), noted: map[string]bool{}, conns: map[net.Conn]struct{}{},
		heard: map[string]time.Time{}, turn: true}
	for i := range d.entries {
		d.entries[i].changed = first
	}
	if address == "" {
		address = "127.0.0.1:0"
	}
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		c.Fail("discovery at %s: %v", address, err)
	}
	d.Address = l.Addr().String()
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve), ConnState: func(conn net.Conn, state http.ConnState) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if state == http.StateNew {
			d.conns[conn] = struct{}{}
		} else if state == http.StateClosed {
			delete(d.conns, conn)
		}
	}}
	go d.server.Serve(l)
	c.Note("%s listens at %s, index %d", name, d.Address, first)
	return d
}

// Stop ends the process: its connections are reset or closed, and new ones are refused.
func (d *Discovery) Stop() {
	d.C.Note("%s ends", d.Name)
	d.server.Close()
}

// otherCaller is a header by which Ask marks its calls.
const otherCaller = "X-Other-Caller"

// Ask makes one call of another coordinator for the whole list, and returns the answer; ok is false if there is none.
func (d *Discovery) Ask() (l List, ok bool) {
	req, _ := http.NewRequest("GET", "http://"+d.Address+"/registry/instances", nil)
	req.Header.Set(otherCaller, "1")
	r, err := (&http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return l, false
	}
	defer r.Body.Close()
	return l, r.StatusCode == http.StatusOK && json.NewDecoder(r.Body).Decode(&l) == nil
}

// Crowd begins or ends a crowd of callers. Each new call waits for its turn for a time; where served is false it has
// waited too long by then and fails with 503. A watch that is renewed within 200 ms of its last answer needs no turn.
func (d *Discovery) Crowd(wait time.Duration, served bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.C.Note("%s: each new call waits %v for its turn, served=%v", d.Name, wait, served)
	d.wait, d.turn = wait, served
}

// ResetWatches resets all open connections.
func (d *Discovery) ResetWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.C.Note("%s: open watches are reset", d.Name)
	for conn := range d.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
}

// Told reports whether an answer up to an index has been written.
func (d *Discovery) Told(index int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.told >= index
}

// Set changes the status of an entry and returns the instant of the change.
func (d *Discovery) Set(name, status string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for i := range d.entries {
		if d.entries[i].Name == name {
			d.entries[i].Status, d.entries[i].changed = status, d.index
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
	d.C.Note("%s: %s is %s, index %d", d.Name, name, status, d.index)
	return time.Now()
}

// answer returns the answer for a version; from is negative for the whole list.
func (d *Discovery) answer(from int64) (l List, news bool, changed chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l = List{Index: d.index, Snapshot: from < 0, Endpoints: []Entry{}}
	for _, e := range d.entries {
		if from < 0 || e.changed > from {
			l.Endpoints = append(l.Endpoints, e)
		}
	}
	return l, from < 0 || d.index > from, d.changed
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		from = -1
	}
	d.mu.Lock()
	wait, served := d.wait, d.turn
	if r.Header.Get(otherCaller) != "" { // it had its turn before the crowd, or is lucky
		wait, served = 0, true
	}
	if time.Since(d.heard[r.RemoteAddr]) < 200*time.Millisecond {
		wait, served = 0, true
	}
	d.mu.Unlock()
	if wait > 0 || !served {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			d.C.Note("%s: %s has given up GET %s while it waited for its turn", d.Name, r.RemoteAddr, r.URL.RequestURI())
			return
		}
		if !served {
			d.C.Note("%s to %s: GET %s -> 503, it has waited too long", d.Name, r.RemoteAddr, r.URL.RequestURI())
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	over := time.After(time.Duration(hold) * time.Millisecond)
	for waiting := true; waiting; {
		_, news, changed := d.answer(from)
		if news {
			break
		}
		select {
		case <-changed:
		case <-over:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	l, _, _ := d.answer(from)
	text, _ := json.Marshal(l)
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heard[r.RemoteAddr] = time.Now()
	d.told = max(d.told, l.Index)
	if key := r.RemoteAddr + " " + r.URL.RawQuery[:min(len(r.URL.RawQuery), 60)] + string(text); !d.noted[key] {
		d.noted[key] = true
		d.C.Note("%s to %s: GET %s -> index %d, snapshot %v, %d entries", d.Name, r.RemoteAddr, r.URL.RequestURI(),
			l.Index, l.Snapshot, len(l.Endpoints))
	}
}
