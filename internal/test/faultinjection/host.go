package faultinjection

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"harepass/internal/test/fake"
)

// Config says what a Host is made of.
type Config struct {
	Dir      string   // for the configuration, and $TMPDIR of all processes
	Command  []string // the program with its arguments
	Env      []string // beside that of this process
	Settings []byte
	Nodes    int           // each listed in a cell of three
	Work     time.Duration // that a node takes for a part
	Slack    time.Duration // after the yes to a node's being taken out, until which it may be sent to
}

const (
	cells   = 3
	patient = 30 * time.Second // for what is only a matter of time
	look    = 10 * time.Millisecond
)

// Host stands in for the platform, which starts processes of one coordinator: it holds the clients' socket and has nodes and
// discovery, each behind a Link.
type Host struct {
	Config
	Clients   *net.TCPListener
	Nodes     []*Node
	Discovery *Link
	Told      atomic.Int32 // answers of discovery, each given when its watch ends

	site   *site
	opened endpoints
	mu     sync.Mutex
	out    map[int]time.Time // nodes taken out by hand, and when that was confirmed
	stray  []string          // parts that reached such a node too late
	all    []*Process
}

// Node is a stand-in node behind a link.
type Node struct {
	fake.Fleet
	Link *Link
}

// NewHost opens all that a process needs.
func NewHost(c Config) (*Host, error) {
	h := &Host{Config: c, out: map[int]time.Time{}}
	var err error
	if h.site, err = readSite(c.Settings); err != nil {
		return nil, err
	}
	clients, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h.Clients = clients.(*net.TCPListener)
	for i := range c.Nodes {
		n := &Node{}
		n.Script = func(int, int) fake.Reply { return h.script(i) }
		if n.Link, err = h.opened.serveBehindLink(NewLink, n.Frames); err != nil {
			return nil, errors.Join(err, h.Close())
		}
		h.Nodes = append(h.Nodes, n)
	}
	h.Discovery, err = h.opened.serveBehindLink(NewLink, func(l net.Listener) { fake.Discovery(l, h.list) })
	if err == nil {
		err = h.Configure(c.Settings)
	}
	if err != nil {
		return nil, errors.Join(err, h.Close())
	}
	return h, nil
}

// Close kills what still runs and closes the rest.
func (h *Host) Close() (err error) {
	for _, p := range h.all {
		p.Process.Kill()
		<-p.Over
	}
	return errors.Join(err, h.Clients.Close(), h.opened.close())
}

// Path is the configuration's file.
func (h *Host) Path() string { return filepath.Join(h.Dir, "config.json") }

// Configure writes the configuration. Its known list is empty, so what a process knows at its start another one left.
func (h *Host) Configure(settings []byte) error {
	data, err := json.Marshal(map[string]any{"name": "n1", "listen": h.Clients.Addr().String(), "discovery": h.Discovery.Address(), "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"index": 0, "snapshot": true, "endpoints": []any{}},
		"settings": json.RawMessage(settings)})
	if err != nil {
		return err
	}
	return os.WriteFile(h.Path(), data, 0o600)
}

// script is what a node does with a part; it also records what it should not have been sent.
func (h *Host) script(i int) fake.Reply {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at, out := h.out[i]; out && time.Since(at) > h.Slack {
		h.stray = append(h.stray, fmt.Sprintf("node %d %v after the yes", i, time.Since(at)))
	}
	return fake.Reply{After: h.Work}
}

// list is discovery's: whatever operators say, every node is in service.
func (h *Host) list() string {
	h.Told.Add(1)
	var entries []string
	for i, n := range h.Nodes {
		entries = append(entries, fmt.Sprintf(`{"name":"f%d","address":%q,"zone":"z","type":"m","group":%d,"status":"in_service","weight":1,"since_ms":0}`, i, n.Link.Address(), i%cells))
	}
	return fmt.Sprintf(`{"index":1,"snapshot":true,"endpoints":[%s]}`, strings.Join(entries, ","))
}

// Start starts a process with a door of its own and the clients' socket as descriptor 4, and with further variables.
func (h *Host) Start(env ...string) (*Process, error) {
	socket, err := h.Clients.File()
	if err != nil {
		return nil, err
	}
	defer socket.Close()
	p, err := start(h.Command, append(append(h.Env[:len(h.Env):len(h.Env)], "PROXY_CONFIG="+h.Path(), "PROXY_FD=4", "TMPDIR="+h.Dir), env...),
		[]*os.File{os.Stdin, socket}, nil)
	if err == nil {
		h.all = append(h.all, p)
	}
	return p, err
}

// Take takes a node out at a process, or calls it back.
func (h *Host) Take(p *Process, i int, out bool) error {
	line := "maint-on"
	if !out {
		line = "maint-off"
		h.mu.Lock()
		delete(h.out, i) // from the call on it may be sent to
		h.mu.Unlock()
	}
	if answer := p.Call(fmt.Sprintf("%s f%d", line, i)); !strings.HasPrefix(answer, "200") {
		return fmt.Errorf("rig: %s f%d: %q", line, i, answer)
	}
	if out {
		h.mu.Lock()
		h.out[i] = time.Now()
		h.mu.Unlock()
	}
	return nil
}

// Sent tells whether a node was asked for some part of a query.
func (h *Host) Sent(id string) bool {
	for _, n := range h.Nodes {
		for _, line := range n.Seen() {
			if strings.HasPrefix(line, id+".") {
				return true
			}
		}
	}
	return false
}

// Check holds the nodes' own records against the rules: nothing that may run once only runs twice, each part comes with its
// client's key or with none, nothing reaches a node that is out.
func (h *Host) Check() (err error) {
	runs, classes := map[string]int{}, map[string]bool{}
	for _, n := range h.Nodes {
		for _, line := range n.Seen() {
			words := strings.Fields(line)
			id, list := words[0], words[2]
			query, _, _ := strings.Cut(id, ".")
			c := h.site.class(query)
			classes[c.name] = true
			if runs[id]++; runs[id] == 2 && c.repeat == "single_shot" {
				err = errors.Join(err, fmt.Errorf("rig: the report %s ran twice", id))
			}
			if fault := h.site.keyFault(query, list); fault != "" {
				err = errors.Join(err, fmt.Errorf("rig: %s", fault))
			}
		}
	}
	for _, c := range h.site.classes {
		if !classes[c.name] {
			err = errors.Join(err, fmt.Errorf("rig: no %s was seen", c.name))
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.stray) > 0 {
		err = errors.Join(err, fmt.Errorf("rig: %d parts at nodes that are out, the first: %s", len(h.stray), h.stray[0]))
	}
	return err
}
