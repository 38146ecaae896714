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

// List is the endpoint list, or a set of changes to it, in discovery's format.
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

// statusRemoved is the status of an entry that is no longer listed. It occurs only in changes.
const statusRemoved = "terminated"

var replicaStates = map[string]scatter.ReplicaState{
	"in_service": scatter.Ready, "terminating": scatter.Draining, statusRemoved: scatter.Removed}

// CoreEndpoints converts the entries to the coordinator's endpoints. It returns an error for an entry that has an
// unknown status or no name.
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

// check returns an error if the entry cannot be converted to an endpoint.
func (e Endpoint) check() error {
	if _, known := replicaStates[e.Status]; !known || e.Name == "" {
		return &EntryError{e.Name, e.Status}
	}
	return nil
}

// ListCopy is the complete list that results from the answers so far, for a process that takes over. Merge costs work
// only for the entries of its answer; only Snapshot iterates over the whole list. It may be used from any goroutine.
type ListCopy struct {
	mu      sync.Mutex
	address string
	index   int64
	entries map[string]Endpoint // by name
}

// NewListCopy returns a copy of the known list, which came from the service at an address.
func NewListCopy(address string, known List) *ListCopy {
	c := &ListCopy{entries: map[string]Endpoint{}}
	c.Merge(address, known)
	return c
}

// Merge applies an answer of the service at an address to the copy.
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

// Snapshot returns the list and the address of the service that it came from.
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
