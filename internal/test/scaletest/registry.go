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

// Registry is a fake of discovery with limited capacity. It serves calls that return a change one after another, and
// rejects those that would wait too long; a watch that returns no change takes no capacity. The complete list omits
// terminated endpoints. The methods are safe for concurrent use.
//
// In contrast, fake.Registry serves all calls at once, keeps terminated endpoints, and can be made to fail.
type Registry struct {
	CallDuration time.Duration // service time of a call that returns a change; set before Serve
	MaxWait      time.Duration // a call that would wait longer for service fails with 503; 0 for no bound

	mu           sync.Mutex
	endpoints    map[string]fake.Endpoint
	changedNames []string      // name of the endpoint that changed in each version, from version 1
	changed      chan struct{} // closed and replaced at each change
	snapshot     []byte        // encoded complete list in its latest version; nil until encoded
	idleAt       time.Time     // when all accepted calls will have been served
	servedCalls  int
	failedCalls  int
}

// NewRegistry returns a registry that lists the given endpoints.
func NewRegistry(endpoints []fake.Endpoint) *Registry {
	r := &Registry{endpoints: map[string]fake.Endpoint{}, changed: make(chan struct{})}
	r.Put(endpoints...)
	return r
}

// Put adds or changes endpoints, all at one instant. Each endpoint creates a new version.
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

// Index returns the latest version of the list.
func (r *Registry) Index() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.index()
}

// index returns the latest version of the list. The caller must hold the lock.
func (r *Registry) index() int64 { return int64(len(r.changedNames)) }

// CallCounts returns how many calls were accepted for service with changes or the complete list, and how many failed
// because they would have waited too long.
func (r *Registry) CallCounts() (served, failed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.servedCalls, r.failedCalls
}

// Serve answers calls until the listener is closed, and returns the resulting error.
func (r *Registry) Serve(l net.Listener) error { return http.Serve(l, http.HandlerFunc(r.handlePoll)) }

// handlePoll answers a call once there is a change or the call's wait has elapsed.
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

// await waits until there is a change since version from or the wait has elapsed. It returns false if the caller has
// disconnected.
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

// hasChanges reports whether there is a change since version from.
func (r *Registry) hasChanges(from int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return from < r.index()
}

// awaitService waits until the call is served, after all earlier calls. If the call would have to wait for more than
// MaxWait before its service begins, awaitService returns false after MaxWait.
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

// schedule returns how long a call that has just arrived waits until it is served, or until it fails, and whether it is
// accepted.
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

// encode returns the answer to a caller that has version from: the endpoints that have changed since then, or the
// complete list if this registry has no such version.
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
