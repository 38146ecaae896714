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
type HostConfig struct {
	Dir              string   // for the configuration, and $TMPDIR of all processes
	Command          []string // the program with its arguments
	Env              []string // beside that of this process
	Settings         []byte
	Replicas         int           // each listed in a cell of three
	ServiceTime      time.Duration // that a node takes for a part
	MaintenanceGrace time.Duration // after the yes to a node's being taken out, until which it may be sent to
}

const (
	hostRingSize = 3
	waitTimeout  = 30 * time.Second // for what is only a matter of time
	pollInterval = 10 * time.Millisecond
)

// Host stands in for the platform, which starts processes of one coordinator: it holds the clients' socket and has nodes and
// discovery, each behind a Link.
type Host struct {
	HostConfig
	ClientListener *net.TCPListener
	Replicas       []*HostReplica
	Discovery      *Link
	ListsServed    atomic.Int32 // answers of discovery, each given when its watch ends

	site          *site
	listeners     linkedListeners
	mu            sync.Mutex
	inMaintenance map[int]time.Time // nodes taken out by hand, and when that was confirmed
	misdirected   []string          // parts that reached such a node too late
	processes     []*Process
}

// Node is a stand-in node behind a link.
type HostReplica struct {
	fake.Fleet
	Link *Link
}

// NewHost opens all that a process needs.
func NewHost(c HostConfig) (*Host, error) {
	h := &Host{HostConfig: c, inMaintenance: map[int]time.Time{}}
	var err error
	if h.site, err = readSite(c.Settings); err != nil {
		return nil, err
	}
	clients, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h.ClientListener = clients.(*net.TCPListener)
	for i := range c.Replicas {
		n := &HostReplica{}
		n.Script = func(int, int) fake.Reply { return h.recordPart(i) }
		if n.Link, err = h.listeners.serveBehindLink(NewLink, n.Frames); err != nil {
			return nil, errors.Join(err, h.Close())
		}
		h.Replicas = append(h.Replicas, n)
	}
	h.Discovery, err = h.listeners.serveBehindLink(NewLink, func(l net.Listener) { fake.Discovery(l, h.endpointList) })
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
	for _, p := range h.processes {
		p.Process.Kill()
		<-p.Exited
	}
	return errors.Join(err, h.ClientListener.Close(), h.listeners.close())
}

// Path is the configuration's file.
func (h *Host) ConfigPath() string { return filepath.Join(h.Dir, "config.json") }

// Configure writes the configuration. Its known list is empty, so what a process knows at its start another one left.
func (h *Host) Configure(settings []byte) error {
	data, err := json.Marshal(map[string]any{"name": "n1", "listen": h.ClientListener.Addr().String(), "discovery": h.Discovery.Address(), "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"index": 0, "snapshot": true, "endpoints": []any{}},
		"settings": json.RawMessage(settings)})
	if err != nil {
		return err
	}
	return os.WriteFile(h.ConfigPath(), data, 0o600)
}

// script is what a node does with a part; it also records what it should not have been sent.
func (h *Host) recordPart(i int) fake.Reply {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at, out := h.inMaintenance[i]; out && time.Since(at) > h.MaintenanceGrace {
		h.misdirected = append(h.misdirected, fmt.Sprintf("node %d %v after the yes", i, time.Since(at)))
	}
	return fake.Reply{After: h.ServiceTime}
}

// list is discovery's: whatever operators say, every node is in service.
func (h *Host) endpointList() string {
	h.ListsServed.Add(1)
	var entries []string
	for i, n := range h.Replicas {
		entries = append(entries, fmt.Sprintf(`{"name":"f%d","address":%q,"zone":"z","type":"m","group":%d,"status":"in_service","weight":1,"since_ms":0}`, i, n.Link.Address(), i%hostRingSize))
	}
	return fmt.Sprintf(`{"index":1,"snapshot":true,"endpoints":[%s]}`, strings.Join(entries, ","))
}

// Start starts a process with a door of its own and the clients' socket as descriptor 4, and with further variables.
func (h *Host) Start(env ...string) (*Process, error) {
	socket, err := h.ClientListener.File()
	if err != nil {
		return nil, err
	}
	defer socket.Close()
	p, err := start(h.Command, append(append(h.Env[:len(h.Env):len(h.Env)], "PROXY_CONFIG="+h.ConfigPath(), "PROXY_FD=4", "TMPDIR="+h.Dir), env...),
		[]*os.File{os.Stdin, socket}, nil)
	if err == nil {
		h.processes = append(h.processes, p)
	}
	return p, err
}

// Take takes a node out at a process, or calls it back.
func (h *Host) SetMaintenance(p *Process, i int, out bool) error {
	line := "maint-on"
	if !out {
		line = "maint-off"
		h.mu.Lock()
		delete(h.inMaintenance, i) // from the call on it may be sent to
		h.mu.Unlock()
	}
	if answer := p.CallAdmin(fmt.Sprintf("%s f%d", line, i)); !strings.HasPrefix(answer, "200") {
		return fmt.Errorf("rig: %s f%d: %q", line, i, answer)
	}
	if out {
		h.mu.Lock()
		h.inMaintenance[i] = time.Now()
		h.mu.Unlock()
	}
	return nil
}

// Sent tells whether a node was asked for some part of a query.
func (h *Host) Forwarded(id string) bool {
	for _, n := range h.Replicas {
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
	for _, n := range h.Replicas {
		for _, line := range n.Seen() {
			words := strings.Fields(line)
			id, list := words[0], words[2]
			query, _, _ := strings.Cut(id, ".")
			c := h.site.classOf(query)
			classes[c.name] = true
			if runs[id]++; runs[id] == 2 && c.idempotency == "single_shot" {
				err = errors.Join(err, fmt.Errorf("rig: the report %s ran twice", id))
			}
			if fault := h.site.keyViolation(query, list); fault != "" {
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
	if len(h.misdirected) > 0 {
		err = errors.Join(err, fmt.Errorf("rig: %d parts at nodes that are out, the first: %s", len(h.misdirected), h.misdirected[0]))
	}
	return err
}
