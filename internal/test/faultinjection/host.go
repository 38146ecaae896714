package faultinjection

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"harepass/internal/test/fake"
)

// hostRingSize is how many ring positions the replicas of a Host share; each position holds several shards.
const hostRingSize = 3

// HostConfig defines what a Host runs.
type HostConfig struct {
	Dir              string        // existing folder for the configuration; also $TMPDIR of all processes
	Command          []string      // the program with its arguments
	Env              []string      // environment variables of each process, in addition to this process's own
	Settings         []byte        // of the site, as JSON
	Replicas         int           // how many; they are assigned to the three ring positions in turn
	ServiceTime      time.Duration // of a part at a replica
	MaintenanceGrace time.Duration // how long parts may still be sent to a replica after its maintenance was confirmed
	DiscoveryHandler http.Handler  // nil for a discovery that lists every replica as in service at all times
}

// Host plays the platform's role for one coordinator: it holds the client socket, starts processes that take over from
// each other, and provides replicas and discovery, each behind a Link. Its exported methods are for one goroutine,
// except Forwarded.
type Host struct {
	HostConfig
	ClientListener *net.TCPListener // each process inherits it
	Replicas       []*HostReplica
	Discovery      *Link
	ListsServed    atomic.Int32 // endpoint lists that discovery has sent, counted when their watch ends

	site      *site
	listeners linkedListeners
	processes []*Process // all processes that were started, also those that have ended

	mu            sync.Mutex
	inMaintenance map[int]time.Time // when a replica's maintenance was confirmed
	misdirected   []string          // parts that reached a replica in maintenance after the grace
}

// HostReplica is a fake replica behind a link.
type HostReplica struct {
	fake.Replicas
	Link *Link
}

// NewHost opens the client socket, the replicas and discovery, and writes the configuration. It starts no process. The
// caller must close the host. Errors come from the settings, from listening and from writing the configuration.
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
		r := &HostReplica{}
		r.Script = func(int, int) fake.Reply { return h.decideReply(i) }
		if r.Link, err = h.listeners.serveBehindLink(NewLink, r.ServeFrames); err != nil {
			return nil, errors.Join(err, h.Close())
		}
		h.Replicas = append(h.Replicas, r)
	}
	serveDiscovery := func(l net.Listener) { fake.ServeDiscovery(l, h.endpointList) }
	if c.DiscoveryHandler != nil {
		serveDiscovery = func(l net.Listener) { http.Serve(l, c.DiscoveryHandler) }
	}
	h.Discovery, err = h.listeners.serveBehindLink(NewLink, serveDiscovery)
	if err == nil {
		err = h.Configure(c.Settings)
	}
	if err != nil {
		return nil, errors.Join(err, h.Close())
	}
	return h, nil
}

// Close kills the processes that still run, and closes listeners and links.
func (h *Host) Close() (err error) {
	for _, p := range h.processes {
		p.Process.Kill()
		<-p.Exited
	}
	return errors.Join(err, h.ClientListener.Close(), h.listeners.close())
}

// ConfigPath is the path of the configuration file.
func (h *Host) ConfigPath() string { return filepath.Join(h.Dir, "config.json") }

// Configure writes the configuration with these settings. Its endpoint list is empty, so whatever a process knows when
// it starts comes from the process that it takes over from.
func (h *Host) Configure(settings []byte) error {
	data, err := json.Marshal(map[string]any{
		"name":      "n1",
		"listen":    h.ClientListener.Addr().String(),
		"discovery": h.Discovery.Address(),
		"seed":      fmt.Sprintf("%016x", memberSeed),
		"limits":    processLimits(mostMemoryMB),
		"known":     map[string]any{"index": 0, "snapshot": true, "endpoints": []any{}},
		"settings":  json.RawMessage(settings),
	})
	if err != nil {
		return err
	}
	return os.WriteFile(h.ConfigPath(), data, 0o600)
}

// decideReply returns how a replica replies to a part. It records a part that the replica should not have received.
func (h *Host) decideReply(replica int) fake.Reply {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at, confirmed := h.inMaintenance[replica]; confirmed && time.Since(at) > h.MaintenanceGrace {
		h.misdirected = append(h.misdirected,
			fmt.Sprintf("replica %d, %v after maintenance was confirmed", replica, time.Since(at)))
	}
	return fake.Reply{After: h.ServiceTime}
}

// endpointList returns discovery's list. It lists every replica as in service, also one that operators have put into
// maintenance.
func (h *Host) endpointList() string {
	h.ListsServed.Add(1)
	list := fake.EndpointList{Index: 1, Snapshot: true, Endpoints: []fake.Endpoint{}}
	for i := range h.Replicas {
		list.Endpoints = append(list.Endpoints, h.Endpoint(i, fake.StatusInService))
	}
	data, _ := json.Marshal(list)
	return string(data)
}

// Endpoint returns discovery's entry for a replica.
func (h *Host) Endpoint(replica int, status string) fake.Endpoint {
	return fake.Endpoint{
		Name:    fmt.Sprint("f", replica),
		Address: h.Replicas[replica].Link.Address(),
		Zone:    "z",
		Type:    "m",
		Group:   replica % hostRingSize,
		Status:  status,
		Weight:  1,
	}
}

// Start starts a process with its own admin endpoint, the client socket as descriptor 4, and additional environment
// variables.
func (h *Host) Start(env ...string) (*Process, error) {
	socket, err := h.ClientListener.File()
	if err != nil {
		return nil, err
	}
	defer socket.Close()
	own := append(h.Env[:len(h.Env):len(h.Env)], "PROXY_CONFIG="+h.ConfigPath(), "PROXY_FD=4", "TMPDIR="+h.Dir)
	p, err := start(h.Command, append(own, env...), []*os.File{os.Stdin, socket}, nil)
	if err == nil {
		h.processes = append(h.processes, p)
	}
	return p, err
}

// SetMaintenance starts a replica's maintenance at a process, or ends it if out is false. If the process does not
// accept the request, the error wraps ErrAdminRequestFailed and contains the reply.
func (h *Host) SetMaintenance(p *Process, replica int, out bool) error {
	request := "maint-on"
	if !out {
		request = "maint-off"
		h.mu.Lock()
		delete(h.inMaintenance, replica) // parts may reach it again as soon as the request is sent
		h.mu.Unlock()
	}
	request += fmt.Sprintf(" f%d", replica)
	if reply := p.CallAdmin(request); !strings.HasPrefix(reply, "200") {
		return fmt.Errorf("%w: %s: %q", ErrAdminRequestFailed, request, reply)
	}
	if out {
		h.mu.Lock()
		h.inMaintenance[replica] = time.Now()
		h.mu.Unlock()
	}
	return nil
}

// StartClients starts n clients of the coordinator. The caller must stop them.
func (h *Host) StartClients(n int) *ClientPool {
	nextQuery := func(_, i int) query { return h.query(i) }
	return newClientPool(n, h.ClientListener.Addr().String(), h.site.tenant, h.Forwarded, nextQuery)
}

// query is the i-th query of each client. Queries use the classes in turn. A query of a class that allows partial
// answers asks two shards that lie far apart; any other query asks one.
func (h *Host) query(i int) query {
	c := h.site.classes[i%len(h.site.classes)]
	if c.allowsPartial() {
		return query{c, []int{0, 4}}
	}
	return query{c, []int{1}}
}
