package inventory

import (
	"maps"
	"slices"
	"strings"
	"time"

	"harepass"
	"harepass/internal/core"
)

// Source names the inventory as a source of nodes.
const Source = "inventory"

// Keeper follows an inventory file from one reading to the next.
type Keeper struct {
	Path  string
	Group string
	Cells int

	nodes map[string]core.Node
}

// Read reads the file and returns all nodes in it, and as draining those that the reading before had and this
// one has not; after that they are forgotten. A host that a later reading brings, or brings back, may just have
// been started, so it counts as started now. After an error the list is what it was.
func (k *Keeper) Read(now time.Duration) ([]core.Node, error) {
	hosts, err := Load(k.Path, k.Group, k.Cells)
	if err != nil {
		return nil, err
	}
	next := map[string]core.Node{}
	for id, n := range k.nodes {
		if n.State == harepass.Ready {
			n.State = harepass.Draining
			next[id] = n
		}
	}
	for _, h := range hosts {
		n := core.Node{Replica: harepass.Replica{ID: h.Name, Cell: h.Cell, Zone: h.Zone}, Address: h.Address, Scheme: h.API}
		old, known := k.nodes[h.Name]
		switch same := known && old.State == harepass.Ready && old.Address == n.Address && old.Scheme == n.Scheme; {
		case same:
			n.Since = old.Since
		case k.nodes != nil:
			n.Since = now
		}
		next[h.Name] = n
	}
	k.nodes = next
	return slices.SortedFunc(maps.Values(next), func(x, y core.Node) int { return strings.Compare(x.ID, y.ID) }), nil
}
