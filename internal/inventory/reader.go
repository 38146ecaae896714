package inventory

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
)

// Source is the name of the inventory where endpoint lists are distinguished by their origin.
const Source = "inventory"

// Reader reads an inventory file repeatedly. Each endpoint list that it returns also depends on the previous reading: a
// host that was removed from the file is listed once more, as draining. The exported fields have to be set before the
// first Read. A Reader must not be used concurrently.
type Reader struct {
	// Path is the path of the file; Load documents the valid extensions.
	Path string
	// Group is the group to read from an Ansible inventory; empty for all hosts.
	Group string
	// RingSize is the number of ring positions.
	RingSize int

	endpoints map[string]core.Endpoint // last result of Read, including draining endpoints, by ID; nil before the first
	changes   Difference               // between the last two readings
}

// Changes returns how the last reading differs from the one before.
func (r *Reader) Changes() Difference { return r.changes }

// isReady reports whether an endpoint may serve, as opposed to one that is unknown or only drains.
func isReady(e core.Endpoint) bool { return e.ID != "" && e.State == scatter.Ready }

// Read reads the file and returns its endpoints, sorted by ID. Endpoints that the previous reading had and this one
// lacks are returned once more, as draining. A host that a reading after the first adds, or adds again, may just have
// started, so its StartedAt is now, the time of the caller's clock. The error is that of Load; the Reader then keeps
// its state.
func (r *Reader) Read(now time.Duration) ([]core.Endpoint, error) {
	hosts, err := Load(r.Path, r.Group, r.RingSize)
	if err != nil {
		return nil, err
	}
	next := map[string]core.Endpoint{}
	for id, e := range r.endpoints {
		if isReady(e) {
			e.State = scatter.Draining
			next[id] = e
		}
	}
	for _, h := range hosts {
		next[h.Name] = r.endpoint(h, now)
	}
	r.changes = difference(r.endpoints, next)
	r.endpoints = next
	return slices.SortedFunc(maps.Values(next), func(x, y core.Endpoint) int { return cmp.Compare(x.ID, y.ID) }), nil
}

// endpoint converts a host to an endpoint. If the previous reading had the host as Ready with the same address and API,
// the endpoint counts as the same process and keeps its StartedAt.
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
