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

// Registry stands in for discovery: the one source of the list. It serves calls that have something to tell one after
// another; a renewed watch that has nothing to tell costs it nothing.
type Registry struct {
	Turn     time.Duration // what a call costs
	Patience time.Duration // a call that would wait longer for its turn fails with 503; 0 for none

	mu      sync.Mutex
	entries map[string]fake.Endpoint
	log     []string // the name that was changed with each index, from 1 on
	changed chan struct{}
	whole   []byte // the whole list at the latest index; nil where that has to be made
	free    time.Time
	answers int
	failed  int
}

// NewRegistry returns one that lists some entries.
func NewRegistry(entries []fake.Endpoint) *Registry {
	r := &Registry{entries: map[string]fake.Endpoint{}, changed: make(chan struct{})}
	r.Put(entries...)
	return r
}

// Put adds entries or changes them, all in one instant.
func (r *Registry) Put(entries ...fake.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		r.entries[e.Name] = e
		r.log = append(r.log, e.Name)
	}
	r.whole = nil
	close(r.changed)
	r.changed = make(chan struct{})
}

// Index is the latest version.
func (r *Registry) Index() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int64(len(r.log))
}

// Answers is how many calls were answered with something to tell, and how many failed for want of a turn.
func (r *Registry) Answers() (served, failed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answers, r.failed
}

// Serve answers calls until the listener is closed.
func (r *Registry) Serve(l net.Listener) error { return http.Serve(l, http.HandlerFunc(r.call)) }

func (r *Registry) call(w http.ResponseWriter, req *http.Request) {
	poll := fake.ParsePoll(req)
	if !r.await(req.Context(), poll.From, poll.Wait) {
		return
	}
	if r.news(poll.From) && !r.turn(req.Context()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(r.answer(poll.From))
}

// await waits until something is newer than a version or the hold is over; false where the caller has left.
func (r *Registry) await(ctx context.Context, from int64, hold time.Duration) bool {
	end := time.NewTimer(hold)
	defer end.Stop()
	for {
		r.mu.Lock()
		changed := r.changed
		r.mu.Unlock()
		if r.news(from) {
			return true
		}
		select {
		case <-changed:
		case <-end.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

func (r *Registry) news(from int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return from < int64(len(r.log))
}

// turn waits for the call's turn to be over; false where it would have waited too long.
func (r *Registry) turn(ctx context.Context) bool {
	r.mu.Lock()
	now := time.Now()
	begin := now
	if r.free.After(now) {
		begin = r.free
	}
	late := r.Patience > 0 && begin.Sub(now) > r.Patience
	wait := begin.Add(r.Turn).Sub(now)
	if late {
		r.failed++
		wait = r.Patience
	} else {
		r.answers++
		r.free = begin.Add(r.Turn)
	}
	r.mu.Unlock()
	if wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	return !late
}

// answer words what is newer than a version: the changes, or the whole list where the version is unknown.
func (r *Registry) answer(from int64) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	head := int64(len(r.log))
	if from >= 0 && from <= head {
		l := fake.EndpointList{Index: head, Endpoints: []fake.Endpoint{}}
		names := slices.Clone(r.log[from:])
		slices.Sort(names)
		for _, name := range slices.Compact(names) {
			l.Endpoints = append(l.Endpoints, r.entries[name])
		}
		data, _ := json.Marshal(l)
		return data
	}
	if r.whole == nil {
		l := fake.EndpointList{Index: head, Snapshot: true, Endpoints: []fake.Endpoint{}}
		for _, e := range r.entries {
			if e.Status != fake.StatusTerminated {
				l.Endpoints = append(l.Endpoints, e)
			}
		}
		r.whole, _ = json.Marshal(l)
	}
	return r.whole
}
