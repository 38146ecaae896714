package platform

import (
	"fmt"

	"github.com/go-json-experiment/json"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/decide/versionlog"
	"harepass/internal/distribution"
)

// DistributedSource is the address under which a list that came from relays is stored. No discovery service has this
// address, so the list's version cannot be mistaken for a version of discovery's list.
const DistributedSource = "distribution"

// RelayedList passes the endpoint list of relays to the coordinator, in place of Discovery. Check and Apply are for the
// goroutine of a distribution.Follower only. The exported fields must be set before the follower runs.
type RelayedList struct {
	Listed func(scatter.UpdateKind, []core.Endpoint) // receives changes, and the last slice of the first snapshot
	Part   func([]core.Endpoint)                     // receives the other slices of the first snapshot

	complete bool       // the first snapshot is complete
	checked  []Endpoint // the entries of the answer that was checked last, in its order
	known    List       // list that the coordinator started with
	copy     *ListCopy  // for a process that takes over; nil if none is kept
	changed  func()     // called after copy has changed
}

// NewRelayedList returns a RelayedList for a coordinator that already has the known list.
func NewRelayedList(known List) *RelayedList { return &RelayedList{known: known} }

// Known returns the names of the entries that the coordinator started with.
func (d *RelayedList) Known() []string {
	names := make([]string, 0, len(d.known.Endpoints))
	for _, e := range d.known.Endpoints {
		names = append(names, e.Name)
	}
	return names
}

// KeepCopy keeps a copy of the complete list for a process that takes over, and calls changed after each change of the
// copy. It must be called before the follower runs.
func (d *RelayedList) KeepCopy(changed func()) *ListCopy {
	d.copy, d.changed = NewListCopy(DistributedSource, d.known), changed
	return d.copy
}

// Check decodes the entries of an answer and keeps them for the Apply that follows. It returns an error if an entry
// cannot be converted to an endpoint.
func (d *RelayedList) Check(entries []versionlog.Entry) error {
	d.checked = d.checked[:0]
	for _, entry := range entries {
		var endpoint Endpoint
		if err := json.Unmarshal(entry.Body, &endpoint); err != nil {
			return fmt.Errorf("platform: entry %.40q: %w", entry.Name, err)
		}
		if endpoint.Name != entry.Name {
			return fmt.Errorf("platform: entry %.40q has the name %.40q too", entry.Name, endpoint.Name)
		}
		if err := endpoint.check(); err != nil {
			return err
		}
		d.checked = append(d.checked, endpoint)
	}
	return nil
}

// Apply passes the changes of an answer to the coordinator. They take effect at once, even before the list is complete.
func (d *RelayedList) Apply(u distribution.Update) {
	list := List{Index: u.Slice.Version.Index, Endpoints: d.endpoints(u.Entries)}
	for _, name := range u.MissingFromSnapshot {
		list.Endpoints = append(list.Endpoints, Endpoint{Name: name, Status: statusRemoved})
	}
	endpoints, err := list.CoreEndpoints()
	if err != nil {
		return // does not happen: Check has rejected such entries
	}
	if d.copy != nil {
		d.copy.Merge(DistributedSource, list)
		d.changed()
	}
	d.complete = d.complete || u.SnapshotCompleted
	if d.complete {
		d.Listed(scatter.IncrementalUpdate, endpoints)
	} else {
		d.Part(endpoints)
	}
}

// endpoints returns the decoded form of some entries of the answer that was checked last. They must be in its order.
func (d *RelayedList) endpoints(entries []versionlog.Entry) []Endpoint {
	list := make([]Endpoint, 0, len(entries))
	next := 0
	for _, entry := range entries {
		for next < len(d.checked) && d.checked[next].Name != entry.Name {
			next++
		}
		if next < len(d.checked) {
			list = append(list, d.checked[next])
		}
	}
	return list
}
