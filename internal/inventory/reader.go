package inventory

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
)

// Source names the inventory where endpoint lists are told apart by where they come from.
const Source = "inventory"

// Reader reads an inventory file again and again. Each endpoint list that it returns depends on the reading before too:
// a host that is gone is listed once more, as draining. Its exported fields are set before the first Read. It is for
// one goroutine at a time.
type Reader struct {
	// Path is the file; Load says which endings it may have.
	Path string
	// Group is the group of an Ansible inventory that is read; empty for all hosts.
	Group string
	// RingSize is how many ring positions there are.
	RingSize int

	endpoints map[string]core.Endpoint // what Read returned last, draining ones included, by ID; nil before the first
}

// Read reads the file and returns its endpoints in the order of their IDs. Those that the reading before had and this
// one has not are returned once as draining. A host that a later reading brings, or brings back, may just have been
// started: it counts as started at now, the caller's clock. The errors are Load's; the list then stays as it was.
func (r *Reader) Read(now time.Duration) ([]core.Endpoint, error) {
	hosts, err := Load(r.Path, r.Group, r.RingSize)
	if err != nil {
		return nil, err
	}
	next := map[string]core.Endpoint{}
	for id, e := range r.endpoints {
		if e.State == scatter.Ready {
			e.State = scatter.Draining
			next[id] = e
		}
	}
	for _, h := range hosts {
		next[h.Name] = r.endpoint(h, now)
	}
	r.endpoints = next
	return slices.SortedFunc(maps.Values(next), func(x, y core.Endpoint) int { return cmp.Compare(x.ID, y.ID) }), nil
}

// endpoint returns a host as an endpoint. One that the last reading had, with the address and the API that it has
// now, is taken for the process that it was.
func (r *Reader) endpoint(h Host, now time.Duration) core.Endpoint {
	e := core.Endpoint{Address: h.Address, Scheme: h.API,
		Replica: scatter.Replica{ID: h.Name, RingPosition: h.RingPosition, Zone: h.Zone}}
	old, known := r.endpoints[h.Name]
	switch same := known && old.State == scatter.Ready && old.Address == e.Address && old.Scheme == e.Scheme; {
	case same:
		e.StartedAt = old.StartedAt
	case r.endpoints != nil:
		e.StartedAt = now
	}
	return e
}
