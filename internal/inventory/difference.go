package inventory

import "harepass/internal/core"

// Difference counts the hosts in which two readings of an inventory differ.
type Difference struct {
	Added   int // hosts that only the later reading has
	Removed int // hosts that only the earlier reading has
	Changed int // hosts that both readings have, with another address, ring position, zone or API
}

// difference compares the endpoints of two readings, by ID. Endpoints that only drain have left their reading.
func difference(earlier, later map[string]core.Endpoint) (d Difference) {
	for id, next := range later {
		switch previous, listed := earlier[id]; {
		case !isReady(next):
		case !listed || !isReady(previous):
			d.Added++
		case !sameHost(previous, next):
			d.Changed++
		}
	}
	for id, previous := range earlier {
		if isReady(previous) && !isReady(later[id]) {
			d.Removed++
		}
	}
	return d
}

// sameHost reports whether two endpoints of the same ID have the same values in the file.
func sameHost(x, y core.Endpoint) bool {
	return x.Address == y.Address && x.Scheme == y.Scheme && x.RingPosition == y.RingPosition && x.Zone == y.Zone
}
