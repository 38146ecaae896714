package platform

import (
	"encoding/json"
	"fmt"

	"harepass"
	"harepass/internal/core"
	"harepass/internal/decide/versionlog"
	"harepass/internal/distribution"
)

// DistributedSource is the address under which a list that came from relays is kept. It is no discovery service's, so
// nobody takes the list's version for one of discovery's.
const DistributedSource = "distribution"

// Distributed brings the owner the node list that relays give out, in Discovery's place: Check and Apply are for a
// distribution.Follower.
type Distributed struct {
	Listed func(harepass.ListScope, []core.Node) // changes, and the last slice of the first snapshot
	Part   func([]core.Node)                     // slices of the first snapshot before its last one

	complete bool // the first snapshot is in
	known    List
	kept     *ListCopy // nil where nobody wants it
	changed  func()    // told when kept has changed
}

// NewDistributed returns a Distributed for an owner that has been given the known list.
func NewDistributed(known List) *Distributed { return &Distributed{known: known} }

// Known are the names that the owner has been given.
func (d *Distributed) Known() []string {
	names := make([]string, 0, len(d.known.Endpoints))
	for _, e := range d.known.Endpoints {
		names = append(names, e.Name)
	}
	return names
}

// Keep keeps the whole list for a process that takes over, and tells when it has changed. It is to be called before the
// follower runs.
func (d *Distributed) Keep(changed func()) *ListCopy {
	d.kept, d.changed = NewListCopy(DistributedSource, d.known), changed
	return d.kept
}

// Check finds entries that are no nodes.
func (d *Distributed) Check(entries []versionlog.Entry) error {
	list, err := readEntries(entries)
	if err == nil {
		_, err = list.Nodes()
	}
	return err
}

// Apply brings the owner what has changed. Entries count at once, also before the list is whole.
func (d *Distributed) Apply(u distribution.Update) {
	list, err := readEntries(u.Entries)
	if err != nil {
		return // Check lets none pass
	}
	for _, name := range u.Gone {
		list.Endpoints = append(list.Endpoints, Endpoint{Name: name, Status: statusGone})
	}
	nodes, err := list.Nodes()
	if err != nil {
		return
	}
	if d.kept != nil {
		list.Index = u.Slice.Version.Index
		d.kept.Merge(DistributedSource, list)
		d.changed()
	}
	d.complete = d.complete || u.Completed
	if d.complete {
		d.Listed(harepass.ListChanges, nodes)
	} else {
		d.Part(nodes)
	}
}

// readEntries gives a slice's entries in discovery's form.
func readEntries(entries []versionlog.Entry) (list List, err error) {
	list.Endpoints = make([]Endpoint, len(entries))
	for i, e := range entries {
		if err := json.Unmarshal(e.Body, &list.Endpoints[i]); err != nil {
			return List{}, fmt.Errorf("platform: entry %.40q: %w", e.Name, err)
		}
	}
	return list, nil
}
