package inventory

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/decide/stability"
	"harepass/internal/inputfile"
)

// Source is the name of the inventory where endpoint lists are distinguished by their origin.
const Source = "inventory"

// Reader reads an inventory file repeatedly. Each endpoint list that it returns also depends on the previous one: a
// host that was removed from the file is listed once more, as draining. The exported fields have to be set before the
// first Look. A Reader must not be used concurrently.
type Reader struct {
	// Path is the path of the file; Load documents the valid extensions.
	Path string
	// Group is the group to read from an Ansible inventory; empty for all hosts.
	Group string
	// RingSize is the number of ring positions.
	RingSize int
	// ShardsWithoutHolder returns the shards that the endpoints of a reading would leave without a holder if they were
	// put in force. It is nil if no shard needs a holder.
	ShardsWithoutHolder func([]core.Endpoint) []int

	endpoints map[string]core.Endpoint // last result of Apply by ID, including draining ones; nil before the first
	changes   Difference               // between the last two applied readings
	last      Reading                  // of the last Look
}

// Reading is what one look at the file showed. The hosts must be applied only once the file counts as complete.
type Reading struct {
	Look  stability.Look
	Hosts []Host
	// Err is an *Error, the error of reading the file, a *ShardWithoutHolderError, or wraps ErrUnknownFormat.
	Err error
}

// Look reads and checks the file. The Reader's state for Apply does not change.
func (r *Reader) Look() Reading {
	file, err := inputfile.Inspect(r.Path)
	if next := (Reading{Look: file.Look, Err: err}); next.Look.Version != r.last.Look.Version {
		if err == nil {
			next.Hosts, next.Err = parse(r.Path, file.Data, r.Group, r.RingSize)
		}
		cutWithinLine := err == nil && !inputfile.EndsLine(file.Data)
		next.Look.Suspect = cutWithinLine || next.Err == nil && r.lacksHost(next.Hosts)
		r.last = next
	}
	r.last.Look.Writing = file.Look.Writing
	reading := r.last
	if reading.Err == nil {
		reading.Err = r.checkCoverage(reading.Hosts)
	}
	return reading
}

// lacksHost reports whether hosts lack one of those in force, as a file that is cut after a line does.
func (r *Reader) lacksHost(hosts []Host) bool {
	listed := map[string]bool{}
	for _, h := range hosts {
		listed[h.Name] = true
	}
	for id, e := range r.endpoints {
		if isReady(e) && !listed[id] {
			return true
		}
	}
	return false
}

// Changes returns how the hosts that were applied last differ from the ones before.
func (r *Reader) Changes() Difference { return r.changes }

// isReady reports whether an endpoint may serve, as opposed to one that is unknown or only drains.
func isReady(e core.Endpoint) bool { return e.ID != "" && e.State == scatter.Ready }

// Apply makes the hosts of a reading the current ones and returns their endpoints, sorted by ID. Endpoints that the
// hosts applied before had and these lack are returned once more, as draining. A host that is added, or added again, to
// the first ones may just have started, so its StartedAt is now, the time of the caller's clock.
func (r *Reader) Apply(hosts []Host, now time.Duration) []core.Endpoint {
	next := map[string]core.Endpoint{}
	for id, e := range r.endpoints {
		if isReady(e) {
			e.State = scatter.Draining
			next[id] = e
		}
	}
	for _, h := range hosts {
		next[h.Name] = r.startedAt(h.endpoint(), now)
	}
	r.changes = difference(r.endpoints, next)
	r.endpoints = next
	r.last = Reading{} // lacksHost compares with the new hosts
	return slices.SortedFunc(maps.Values(next), func(x, y core.Endpoint) int { return cmp.Compare(x.ID, y.ID) })
}

// endpoint returns the host as an endpoint.
func (h Host) endpoint() core.Endpoint {
	return core.Endpoint{Address: h.Address, Scheme: h.API,
		Replica: scatter.Replica{ID: h.Name, RingPosition: h.RingPosition, Zone: h.Zone}}
}

// startedAt sets the StartedAt of a host's endpoint. If the hosts in force have it as Ready with the same address and
// API, it counts as the same process and keeps its StartedAt.
func (r *Reader) startedAt(e core.Endpoint, now time.Duration) core.Endpoint {
	old, known := r.endpoints[e.ID]
	switch same := known && old.State == scatter.Ready && old.Address == e.Address && old.Scheme == e.Scheme; {
	case same:
		e.StartedAt = old.StartedAt
	case r.endpoints != nil:
		e.StartedAt = now
	}
	return e
}
