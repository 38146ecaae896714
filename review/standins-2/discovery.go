package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// endpoint is one entry of discovery's list.
type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// discovery is a sound discovery service after the protocol page.
type discovery struct {
	rec     *record
	address string
	server  *http.Server
	mu      sync.Mutex
	index   int
	entries map[string]endpoint
	changed map[string]int // version of the last change, by name
	news    chan struct{}  // closed at the next change
}

// startDiscovery serves a list on a free port.
func startDiscovery(rec *record, list []endpoint) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{rec: rec, address: l.Addr().String(), index: 1, entries: map[string]endpoint{},
		changed: map[string]int{}, news: make(chan struct{})}
	for _, e := range list {
		d.entries[e.Name], d.changed[e.Name] = e, 1
	}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go d.server.Serve(l)
	rec.add("discovery listens at %s", d.address)
	return d, nil
}

// set changes an entry and ends the watches.
func (d *discovery) set(e endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	d.entries[e.Name], d.changed[e.Name] = e, d.index
	close(d.news)
	d.news = make(chan struct{})
	d.rec.add("discovery: version %d, %s is %s", d.index, e.Name, e.Status)
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	d.mu.Lock()
	if err == nil && from >= d.index {
		news := d.news
		d.mu.Unlock()
		select {
		case <-news:
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	answer := map[string]any{"index": d.index, "snapshot": err != nil}
	list := []endpoint{}
	for name, e := range d.entries {
		if err != nil && e.Status != "terminated" || err == nil && d.changed[name] > from {
			list = append(list, e)
		}
	}
	d.mu.Unlock()
	answer["endpoints"] = list
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}
