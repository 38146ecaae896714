package platform

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
)

// List is the endpoint list, or changes of it, in discovery's form.
type List struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is one entry of a List.
type Endpoint struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Group   int    `json:"group"`
	Status  string `json:"status"`
	SinceMS int64  `json:"since_ms"`
}

// statusRemoved is that of an entry that is listed no more; it stands among changes only.
const statusRemoved = "terminated"

var replicaStates = map[string]scatter.ReplicaState{
	"in_service": scatter.Ready, "terminating": scatter.Draining, statusRemoved: scatter.Removed}

// CoreEndpoints gives the entries as the coordinator takes them. An entry with an unknown status or without a name
// is an error.
func (l List) CoreEndpoints() ([]core.Endpoint, error) {
	endpoints := make([]core.Endpoint, 0, len(l.Endpoints))
	for _, e := range l.Endpoints {
		if err := e.check(); err != nil {
			return nil, err
		}
		replica := scatter.Replica{
			ID:           e.Name,
			RingPosition: e.Group,
			Zone:         e.Zone,
			State:        replicaStates[e.Status],
			StartedAt:    time.Duration(e.SinceMS) * time.Millisecond,
		}
		endpoints = append(endpoints, core.Endpoint{Replica: replica, Address: e.Address, Scheme: Scheme})
	}
	return endpoints, nil
}

// EntryError is returned for an entry that has no name or an unknown status.
type EntryError struct{ Name, Status string }

// Error names the entry and its status.
func (e *EntryError) Error() string {
	return fmt.Sprintf("platform: entry %q has status %q", e.Name, e.Status)
}

// check returns what keeps an entry from being an endpoint.
func (e Endpoint) check() error {
	if _, known := replicaStates[e.Status]; !known || e.Name == "" {
		return &EntryError{e.Name, e.Status}
	}
	return nil
}

// ListCopy is the complete list as the answers so far make it, for a process that takes over. An answer costs what it
// holds; only Snapshot goes through the list. It is for any goroutine.
type ListCopy struct {
	mu      sync.Mutex
	address string
	index   int64
	entries map[string]Endpoint // by name
}

// NewListCopy returns a copy of a known list of the service at an address.
func NewListCopy(address string, known List) *ListCopy {
	c := &ListCopy{entries: map[string]Endpoint{}}
	c.Merge(address, known)
	return c
}

// Merge takes an answer of the service at an address into the copy.
func (c *ListCopy) Merge(address string, l List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.address, c.index = address, l.Index
	if l.Snapshot {
		clear(c.entries)
	}
	for _, e := range l.Endpoints {
		if replicaStates[e.Status] == scatter.Removed {
			delete(c.entries, e.Name)
		} else {
			c.entries[e.Name] = e
		}
	}
}

// Snapshot is the list and the address of the service that it came from.
func (c *ListCopy) Snapshot() (address string, l List) {
	c.mu.Lock()
	entries := maps.Clone(c.entries)
	address, l = c.address, List{Index: c.index, Snapshot: true}
	c.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		l.Endpoints = append(l.Endpoints, entries[name])
	}
	return address, l
}
