package fake

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Registry is a discovery service whose endpoint list changes. It answers with the complete list, or lets a watch wait
// for a change that the caller does not have. Endpoints that have ended stay in the list. The zero value lists nothing.
type Registry struct {
	mu        sync.Mutex
	index     int64 // the list's version: the number of changes so far
	endpoints map[string]listedEndpoint
	changed   chan struct{} // closed and replaced at each change of an endpoint or of the mode
	mode      RegistryMode
}

// listedEndpoint is an endpoint with the list's version at the endpoint's latest change.
type listedEndpoint struct {
	Endpoint
	version int64
}

// Put adds or changes an endpoint. List sets its address for each caller.
func (r *Registry) Put(e Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.endpoints == nil {
		r.endpoints = map[string]listedEndpoint{}
	}
	r.index++
	r.endpoints[e.Name] = listedEndpoint{e, r.index}
	r.notify()
}

// notify wakes all watches. The caller holds mu.
func (r *Registry) notify() {
	if r.changed != nil {
		close(r.changed)
	}
	r.changed = make(chan struct{})
}

// List returns the endpoints that changed after the version from, or all of them if from is negative, sorted by name.
// Each caller reaches replicas at its own addresses, which address returns. The channel is closed at the next change;
// it is nil before the first one.
func (r *Registry) List(from int64, address func(replica string) string) (EndpointList, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := EndpointList{Index: r.index, Snapshot: from < 0, Endpoints: []Endpoint{}}
	for _, name := range slices.Sorted(maps.Keys(r.endpoints)) {
		if e := r.endpoints[name]; e.version > from {
			e.Address = address(name)
			list.Endpoints = append(list.Endpoints, e.Endpoint)
		}
	}
	return list, r.changed
}

// Serve answers the calls of one caller until the listener is closed, and returns the resulting error. It calls sent
// with each answer after writing it.
func (r *Registry) Serve(l net.Listener, address func(replica string) string, sent func(EndpointList)) error {
	return http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		poll := ParsePoll(req)
		waitOver := time.After(poll.Wait)
		if applyMode(w, req, r.Mode(), false) {
			return
		}
		list, answered := r.await(w, req, poll, waitOver, address)
		if answered {
			return
		}
		data, _ := json.Marshal(list)
		w.Header().Set("Content-Type", "application/json")
		w.Write(data)
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		sent(list)
	}))
}

// await returns the answer to a call once there is a change that the caller does not have, or once the wait is over. It
// reports true if the call needs no answer any more, because its caller has left or the mode has handled the call.
func (r *Registry) await(
	w http.ResponseWriter, req *http.Request, poll Poll, waitOver <-chan time.Time, address func(string) string,
) (list EndpointList, answered bool) {
	for {
		list, changed := r.List(poll.From, address)
		if poll.Wait <= 0 || poll.From < 0 || len(list.Endpoints) > 0 {
			return list, false
		}
		select {
		case <-changed:
			if applyMode(w, req, r.Mode(), true) {
				return list, true
			}
		case <-req.Context().Done():
			return list, true
		case <-waitOver:
			return list, false
		}
	}
}
