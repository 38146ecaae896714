package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"harepass/internal/test/fake"
)

const (
	// turnTimeout is how long a call waits for its turn at a crowded discovery before it is answered 503.
	turnTimeout = 2 * time.Second
	// renewalTime is the time after an answer within which the next call on the connection continues the watch.
	renewalTime = 200 * time.Millisecond
	// firstVersion is the version of a changingDiscovery's list before its first change.
	firstVersion = 41
)

// changingDiscovery is a discovery whose list changes while it is crowded: calls fail, except for those that continue a
// watch. Set its endpoints before it serves.
type changingDiscovery struct {
	mu       sync.Mutex
	index    int64 // version of the list
	entries  []changedEntry
	notify   chan struct{}         // closed and replaced at each change
	crowded  bool                  // calls fail that continue no watch
	answered map[string]answeredAt // the latest answer on each connection
	reset    time.Time             // connections that had an answer before are reset
	told     map[int64]time.Time   // when a version was first written to a caller
}

// changedEntry is an entry of the list with the version of its latest change.
type changedEntry struct {
	fake.Endpoint
	version   int64
	changedAt time.Time
	toldAt    time.Time // when an answer with the change was first written to a caller; zero before
}

// answeredAt holds when a connection got its first and its latest answer.
type answeredAt struct{ first, latest time.Time }

// setEndpoints sets the list's first version.
func (d *changingDiscovery) setEndpoints(endpoints []fake.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index, d.notify = firstVersion, make(chan struct{})
	d.answered, d.told = map[string]answeredAt{}, map[int64]time.Time{}
	for _, e := range endpoints {
		d.entries = append(d.entries, changedEntry{Endpoint: e, version: firstVersion})
	}
}

// setStatus changes the status of an endpoint, and returns the version of the change.
func (d *changingDiscovery) setStatus(name, status string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for i := range d.entries {
		if d.entries[i].Name == name {
			d.entries[i].Status, d.entries[i].version = status, d.index
			d.entries[i].changedAt, d.entries[i].toldAt = time.Now(), time.Time{}
		}
	}
	d.wake()
	return d.index
}

// entry returns an endpoint's entry.
func (d *changingDiscovery) entry(name string) (e changedEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e = range d.entries {
		if e.Name == name {
			break
		}
	}
	return e
}

// restart restarts discovery: all connections are reset, and its index goes back by some versions, or to 0.
func (d *changingDiscovery) restart(lost int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index = max(0, d.index-lost)
	for i := range d.entries {
		d.entries[i].version = d.index
	}
	d.reset = time.Now()
	d.wake()
}

// setCrowded begins or ends the crowd.
func (d *changingDiscovery) setCrowded(crowded bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crowded = crowded
}

// resetBefore resets the connections that got their first answer before an instant.
func (d *changingDiscovery) resetBefore(instant time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reset = instant
	d.wake()
}

// toldAt returns when a version was first written to a caller; zero for never.
func (d *changingDiscovery) toldAt(version int64) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.told[version]
}

// wake wakes the watches. The caller holds mu.
func (d *changingDiscovery) wake() {
	close(d.notify)
	d.notify = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (d *changingDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !d.hasTurn(r.RemoteAddr) {
		time.Sleep(turnTimeout)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p := fake.ParsePoll(r)
	waitOver := time.After(p.Wait)
	for {
		list, changed := d.list(r.RemoteAddr, p.From)
		if len(list.Endpoints) > 0 || list.Snapshot {
			d.write(w, r.RemoteAddr, p.From, list)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-waitOver:
			d.write(w, r.RemoteAddr, p.From, list)
			return
		}
	}
}

// hasTurn reports whether a call on a connection is answered.
func (d *changingDiscovery) hasTurn(conn string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.crowded || time.Since(d.answered[conn].latest) < renewalTime
}

// list returns the changes since a version, or the whole list if from is negative. It aborts the call if its connection
// is to be reset.
func (d *changingDiscovery) list(conn string, from int64) (l fake.EndpointList, changed chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if first := d.answered[conn].first; !first.IsZero() && first.Before(d.reset) {
		panic(http.ErrAbortHandler)
	}
	l = fake.EndpointList{Index: d.index, Snapshot: from < 0, Endpoints: []fake.Endpoint{}}
	for _, e := range d.entries {
		if e.version > from && !(l.Snapshot && e.Status == fake.StatusTerminated) {
			l.Endpoints = append(l.Endpoints, e.Endpoint)
		}
	}
	return l, d.notify
}

// write writes the answer to a caller that has the version from.
func (d *changingDiscovery) write(w http.ResponseWriter, conn string, from int64, l fake.EndpointList) {
	data, _ := json.Marshal(l)
	w.Write(data)
	w.(http.Flusher).Flush()
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	at := d.answered[conn]
	if at.first.IsZero() {
		at.first = now
	}
	at.latest = now
	d.answered[conn] = at
	if d.told[l.Index].IsZero() {
		d.told[l.Index] = now
	}
	for i := range d.entries {
		// After a restart, an answer to a caller of a later version has no change in it.
		if e := &d.entries[i]; e.toldAt.IsZero() && from < e.version && e.version <= l.Index {
			e.toldAt = now
		}
	}
}
