package fake

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Entry is a node in a Registry.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"` // made for each caller
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`

	version int64
}

// Listing is what a Registry answers with.
type Listing struct {
	Index     int64   `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// Registry is discovery with a list that changes: it gives the whole list, or holds a watch until something is newer than
// what the caller has.
type Registry struct {
	mu      sync.Mutex
	index   int64
	entries map[string]Entry
	changed chan struct{} // closed and made anew at each change, of an entry or of the mode
	mode    RegistryMode
}

// RegistryMode is how a Registry treats calls.
type RegistryMode string

// The modes of a Registry.
const (
	RegistrySound   RegistryMode = ""
	RegistryDown    RegistryMode = "down"    // standing watches end, and each call is turned away at once
	RegistryCrowded RegistryMode = "crowded" // standing watches say nothing, and each call waits and is reset
	RegistrySilent  RegistryMode = "silent"  // no call and no watch is answered
)

// crowdedWait is how long a crowded Registry lets a call wait.
const crowdedWait = time.Second

// SetMode changes how calls are treated from now on.
func (r *Registry) SetMode(mode RegistryMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
	r.notify()
}

// Mode is how calls are treated.
func (r *Registry) Mode() RegistryMode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

// notify wakes all watches, under the lock.
func (r *Registry) notify() {
	if r.changed != nil {
		close(r.changed)
	}
	r.changed = make(chan struct{})
}

// Put adds an entry or changes it.
func (r *Registry) Put(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries == nil {
		r.entries = map[string]Entry{}
	}
	r.index++
	e.version = r.index
	r.entries[e.Name] = e
	r.notify()
}

// List is what is newer than a version, or all below 0, for a caller that reaches nodes at addresses of its own; and what is
// closed when there is more.
func (r *Registry) List(from int64, address func(node string) string) (Listing, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := Listing{Index: r.index, Snapshot: from < 0, Endpoints: []Entry{}}
	for _, name := range slices.Sorted(maps.Keys(r.entries)) {
		if e := r.entries[name]; e.version > from {
			e.Address = address(name)
			l.Endpoints = append(l.Endpoints, e)
		}
	}
	return l, r.changed
}

// Serve answers one caller's calls until the listener is closed; told hears of each answer once it is written.
func (r *Registry) Serve(l net.Listener, address func(node string) string, told func(Listing)) error {
	return http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		from, err := strconv.ParseInt(req.URL.Query().Get("from"), 10, 64)
		if err != nil {
			from = -1
		}
		hold, _ := strconv.Atoi(req.URL.Query().Get("hold_ms"))
		end := time.After(time.Duration(hold) * time.Millisecond)
		if refuse(w, req, r.Mode(), false) {
			return
		}
		for {
			list, changed := r.List(from, address)
			if hold > 0 && from >= 0 && len(list.Endpoints) == 0 {
				select {
				case <-changed:
					if refuse(w, req, r.Mode(), true) {
						return
					}
					continue
				case <-req.Context().Done():
					return
				case <-end:
				}
			}
			data, _ := json.Marshal(list)
			w.Header().Set("Content-Type", "application/json")
			w.Write(data)
			if f, ok := w.(http.Flusher); ok {
				f.Flush()
			}
			told(list)
			return
		}
	}))
}

// refuse treats a call, or a watch that stands, as a mode says; false lets it be answered.
func refuse(w http.ResponseWriter, req *http.Request, mode RegistryMode, stands bool) bool {
	switch {
	case mode == RegistrySound:
		return false
	case mode == RegistryDown:
		w.WriteHeader(http.StatusServiceUnavailable)
	case mode == RegistryCrowded && !stands:
		select {
		case <-time.After(crowdedWait):
			reset(w)
		case <-req.Context().Done():
		}
	default:
		<-req.Context().Done()
	}
	return true
}

// reset breaks a call's connection.
func reset(w http.ResponseWriter) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	if c, _, err := h.Hijack(); err == nil {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
}
