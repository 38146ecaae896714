package platform

import (
	"fmt"

	"github.com/go-json-experiment/json"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/decide/versionlog"
	"harepass/internal/distribution"
)

// DistributedSource is the address under which a list that came from relays is kept. It is no discovery service's, so
// nobody takes the list's version for one of discovery's.
const DistributedSource = "distribution"

// RelayedList brings the coordinator the endpoint list that relays give out, in Discovery's place: Check and Apply
// are for a distribution.Follower, whose goroutine alone calls them. Its exported fields are to be set before.
type RelayedList struct {
	Listed func(scatter.UpdateKind, []core.Endpoint) // takes changes, and the last slice of the first snapshot
	Part   func([]core.Endpoint)                     // takes slices of the first snapshot before its last one

	complete bool       // the first snapshot is in
	checked  []Endpoint // the entries of the answer that was checked last, in its order
	known    List       // what the coordinator was started with
	copy     *ListCopy  // for a process that takes over; nil where nobody wants it
	changed  func()     // called when copy has changed
}

// NewRelayedList returns a RelayedList for a coordinator that has been given the known list.
func NewRelayedList(known List) *RelayedList { return &RelayedList{known: known} }

// Known are the names of the entries that the coordinator has been given.
func (d *RelayedList) Known() []string {
	names := make([]string, 0, len(d.known.Endpoints))
	for _, e := range d.known.Endpoints {
		names = append(names, e.Name)
	}
	return names
}

// KeepCopy keeps the complete list for a process that takes over, and calls changed when it has changed. It is to
// be called before the follower runs.
func (d *RelayedList) KeepCopy(changed func()) *ListCopy {
	d.copy, d.changed = NewListCopy(DistributedSource, d.known), changed
	return d.copy
}

// Check returns an error for an entry that is no endpoint, and keeps the others for the Apply that follows.
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

// Apply hands on what has changed. Entries count at once, also before the list is complete.
func (d *RelayedList) Apply(u distribution.Update) {
	list := List{Index: u.Slice.Version.Index, Endpoints: d.endpoints(u.Entries)}
	for _, name := range u.MissingFromSnapshot {
		list.Endpoints = append(list.Endpoints, Endpoint{Name: name, Status: statusRemoved})
	}
	endpoints, err := list.CoreEndpoints()
	if err != nil {
		return // Check lets none pass
	}
	if d.copy != nil {
		d.copy.Merge(DistributedSource, list)
		d.changed()
	}
	d.complete = d.complete || u.Completed
	if d.complete {
		d.Listed(scatter.IncrementalUpdate, endpoints)
	} else {
		d.Part(endpoints)
	}
}

// endpoints gives some entries of the answer that was checked last, in its order, in discovery's form.
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
