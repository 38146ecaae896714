package platform

import (
	"slices"
	"time"

	"harepass/internal/decide/lease"
	"harepass/internal/decide/listversion"
)

// ListRecord is what one process of a coordinator knows of the endpoint list, for the coordinator's other processes.
// Its JSON form is stored, with instants on a clock that all processes of the machine share; elsewhere they are
// readings of the coordinator's clock.
type ListRecord struct {
	Service       string        `json:"service"`        // address of the discovery service that the list came from
	Index         int64         `json:"index"`          // version of the list
	Numbering     int64         `json:"numbering"`      // see listversion.Known
	ConfirmedAt   time.Duration `json:"confirmed_at"`   // see listversion.Known
	HeardAt       time.Duration `json:"heard_at"`       // see listversion.Known
	UnreachableAt time.Duration `json:"unreachable_at"` // latest call that found it unreachable; or NotConfirmed
	Lease         *lease.State  `json:"lease"`          // nil if it is not known
	Base          int64         `json:"base"`           // Changes holds all changes after this version, up to Index
	Changes       []List        `json:"changes"`        // oldest first
}

// Version returns the record's version in the form that the versions of two records are compared in.
func (r ListRecord) Version() listversion.Known {
	return listversion.Known{Service: r.Service, Numbering: r.Numbering, Index: r.Index, ConfirmedAt: r.ConfirmedAt,
		HeardAt: r.HeardAt}
}

// Shifted returns the record with its instants moved by a duration, for a clock that differs by it.
func (r ListRecord) Shifted(by time.Duration) ListRecord {
	for _, at := range []*time.Duration{&r.ConfirmedAt, &r.UnreachableAt} {
		if *at != listversion.NotConfirmed {
			*at += by
		}
	}
	r.HeardAt += by
	if r.Lease != nil {
		shifted := r.Lease.Shifted(by)
		r.Lease = &shifted
	}
	return r
}

// ChangesAfter returns the changes that bring a list of the record's service and numbering from a version to the
// record's. ok is false if the record does not hold all of them.
func (r ListRecord) ChangesAfter(index int64) (changes List, ok bool) {
	changes.Index = r.Index
	if index < r.Base || index > r.Index {
		return changes, false
	}
	for _, c := range r.Changes {
		if c.Index > index {
			changes.Endpoints = append(changes.Endpoints, c.Endpoints...)
		}
	}
	changes.Endpoints = latestOfEach(changes.Endpoints)
	return changes, true
}

// latestOfEach returns the last entry of each name, in the order of these entries.
func latestOfEach(entries []Endpoint) (latest []Endpoint) {
	last := make(map[string]int, len(entries))
	for i, e := range entries {
		last[e.Name] = i
	}
	for i, e := range entries {
		if last[e.Name] == i {
			latest = append(latest, e)
		}
	}
	return latest
}

// Complete returns the complete list of the record's version, from a complete list of an earlier version of the same
// service. ok is false if the record does not hold all changes since.
func (r ListRecord) Complete(earlier List) (complete List, ok bool) {
	changes, ok := r.ChangesAfter(earlier.Index)
	if !ok {
		return List{}, false
	}
	c := NewListCopy(r.Service, earlier)
	c.Merge(r.Service, changes)
	_, complete = c.Snapshot()
	return complete, true
}

// maxLoggedEntries bounds the entries of a changeLog: about 64 KiB in a ListRecord's JSON form.
const maxLoggedEntries = 512

// changeLog holds the latest changes of a list. A process whose list lacks only these need not read the complete list.
type changeLog struct {
	base    int64  // version before the first change
	changes []List // oldest first
	entries int    // number of entries in changes
}

// reset empties the log for a list of a version.
func (c *changeLog) reset(base int64) { *c = changeLog{base: base} }

// resume makes the changes of a record the log's.
func (c *changeLog) resume(r ListRecord) {
	c.reset(r.Base)
	for _, change := range r.Changes {
		c.add(change)
	}
}

// add appends a change, and drops the oldest ones if the log exceeds maxLoggedEntries.
func (c *changeLog) add(change List) {
	c.changes = append(c.changes, change)
	c.entries += len(change.Endpoints)
	for c.entries > maxLoggedEntries {
		oldest := c.changes[0]
		c.base, c.changes, c.entries = oldest.Index, c.changes[1:], c.entries-len(oldest.Endpoints)
	}
}

// all returns a copy of the changes, which later calls do not modify.
func (c *changeLog) all() []List { return slices.Clone(c.changes) }
