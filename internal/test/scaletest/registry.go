package scaletest

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"harepass/internal/test/fake"
)

// Registry is discovery at a cost: the one source of the endpoint list. It serves calls that have a change to give one
// after another, and rejects those that would wait for too long; a watch that has none costs it nothing. Endpoints that
// have ended leave the complete list. Its methods may be called by any goroutine.
//
// It differs from fake.Registry, which serves all calls at once, keeps ended endpoints, and can be made to fail.
type Registry struct {
	CallDuration time.Duration // how long a call that has a change takes; set before Serve
	MaxWait      time.Duration // a call that would wait longer before it is served fails with 503; 0 for no bound

	mu           sync.Mutex
	endpoints    map[string]fake.Endpoint
	changedNames []string      // the endpoint that changed with each version, from 1 on
	changed      chan struct{} // closed and replaced at each change
	snapshot     []byte        // the complete list in its latest version; nil where it has to be made
	idleAt       time.Time     // when the calls that were accepted are served
	servedCalls  int
	failedCalls  int
}

// NewRegistry returns a registry that lists some endpoints.
func NewRegistry(endpoints []fake.Endpoint) *Registry {
	r := &Registry{endpoints: map[string]fake.Endpoint{}, changed: make(chan struct{})}
	r.Put(endpoints...)
	return r
}

// Put adds endpoints or changes them, all at one instant. Each is a version of its own.
func (r *Registry) Put(endpoints ...fake.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range endpoints {
		r.endpoints[e.Name] = e
		r.changedNames = append(r.changedNames, e.Name)
	}
	r.snapshot = nil
	close(r.changed)
	r.changed = make(chan struct{})
}

// Index is the list's latest version.
func (r *Registry) Index() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.index()
}

// index is the list's latest version. It is to be called under the lock.
func (r *Registry) index() int64 { return int64(len(r.changedNames)) }

// CallCounts is how many calls were given changes, and how many failed since they would have waited for too long.
func (r *Registry) CallCounts() (served, failed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.servedCalls, r.failedCalls
}

// Serve answers calls until the listener is closed, which gives the error.
func (r *Registry) Serve(l net.Listener) error { return http.Serve(l, http.HandlerFunc(r.handlePoll)) }

// handlePoll answers a call once there is a change or its wait is over.
func (r *Registry) handlePoll(w http.ResponseWriter, req *http.Request) {
	poll := fake.ParsePoll(req)
	if !r.await(req.Context(), poll.From, poll.Wait) {
		return
	}
	if r.hasChanges(poll.From) && !r.awaitService(req.Context()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(r.encode(poll.From))
}

// await waits until there is a change since a version or the wait is over. It reports false where the caller has left.
func (r *Registry) await(ctx context.Context, from int64, wait time.Duration) bool {
	waitOver := time.NewTimer(wait)
	defer waitOver.Stop()
	for {
		r.mu.Lock()
		changed := r.changed
		r.mu.Unlock()
		if r.hasChanges(from) {
			return true
		}
		select {
		case <-changed:
		case <-waitOver.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// hasChanges reports whether there is a change since a version.
func (r *Registry) hasChanges(from int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return from < r.index()
}

// awaitService waits until the call is served, after those before it. It reports false where the call would have had to
// wait for more than MaxWait before that; it has then waited for MaxWait.
func (r *Registry) awaitService(ctx context.Context) bool {
	wait, accepted := r.schedule()
	if wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	return accepted
}

// schedule returns how long a call that has just arrived waits until it is served, or until it fails.
func (r *Registry) schedule() (wait time.Duration, accepted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	begin := now
	if r.idleAt.After(now) {
		begin = r.idleAt
	}
	if r.MaxWait > 0 && begin.Sub(now) > r.MaxWait {
		r.failedCalls++
		return r.MaxWait, false
	}
	r.servedCalls++
	r.idleAt = begin.Add(r.CallDuration)
	return r.idleAt.Sub(now), true
}

// encode returns the answer to a caller who has a version: what has changed since, or the complete list where the
// version is not one of this registry's.
func (r *Registry) encode(from int64) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from >= 0 && from <= r.index() {
		list := fake.EndpointList{Index: r.index(), Endpoints: []fake.Endpoint{}}
		names := slices.Clone(r.changedNames[from:])
		slices.Sort(names)
		for _, name := range slices.Compact(names) {
			list.Endpoints = append(list.Endpoints, r.endpoints[name])
		}
		data, _ := json.Marshal(list)
		return data
	}
	if r.snapshot == nil {
		list := fake.EndpointList{Index: r.index(), Snapshot: true, Endpoints: []fake.Endpoint{}}
		for _, e := range r.endpoints {
			if e.Status != fake.StatusTerminated {
				list.Endpoints = append(list.Endpoints, e)
			}
		}
		r.snapshot, _ = json.Marshal(list)
	}
	return r.snapshot
}
