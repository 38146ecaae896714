package inventory

import (
	"maps"
	"slices"
	"strings"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
)

// Source names the inventory as a source of nodes.
const Source = "inventory"

// Reader follows an inventory file from one reading to the next.
type Reader struct {
	Path     string
	Group    string
	RingSize int

	nodes map[string]core.Endpoint
}

// Read reads the file and returns all nodes in it, and as draining those that the reading before had and this
// one has not; after that they are forgotten. A host that a later reading brings, or brings back, may just have
// been started, so it counts as started now. After an error the list is what it was.
func (k *Reader) Read(now time.Duration) ([]core.Endpoint, error) {
	hosts, err := Load(k.Path, k.Group, k.RingSize)
	if err != nil {
		return nil, err
	}
	next := map[string]core.Endpoint{}
	for id, n := range k.nodes {
		if n.State == scatter.Ready {
			n.State = scatter.Draining
			next[id] = n
		}
	}
	for _, h := range hosts {
		n := core.Endpoint{Replica: scatter.Replica{ID: h.Name, RingPosition: h.RingPosition, Zone: h.Zone}, Address: h.Address, Scheme: h.API}
		old, known := k.nodes[h.Name]
		switch same := known && old.State == scatter.Ready && old.Address == n.Address && old.Scheme == n.Scheme; {
		case same:
			n.StartedAt = old.StartedAt
		case k.nodes != nil:
			n.StartedAt = now
		}
		next[h.Name] = n
	}
	k.nodes = next
	return slices.SortedFunc(maps.Values(next), func(x, y core.Endpoint) int { return strings.Compare(x.ID, y.ID) }), nil
}
