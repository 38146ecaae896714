// Package fake has the stand-ins that tests and the laboratory use for outside systems: nodes that speak the
// platform's frames, nodes that offer the OpenSearch search and index APIs, and discovery. They are written from
// the public descriptions of what they stand for, share no code with the program and are no part of it.
package fake

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Kind is what a node does with a part.
type Kind int

// The kinds.
const (
	Serve  Kind = iota
	Fail        // an error after it began
	Reject      // turned away unseen
	Silent      // taken and never answered
	Break       // the connection breaks after it was taken
	Spoil       // an answer that cannot be read
)

// Reply is a kind and when it comes.
type Reply struct {
	Kind  Kind
	After time.Duration
}

// Part is a part as its line in a frame words it.
type Part struct {
	ID    string
	Shard int
	List  string // of what goes with it, as d=240
}

// Fleet is one node, or several with a common script, record and data.
type Fleet struct {
	Script func(shard, try int) Reply // try counts from 0 over all nodes; nil serves all at once
	Heard  func(part Part, did Kind)  // told of each part that comes in a frame; nil for nobody
	Data   *Data                      // what searches find; nil gives each section one canned document

	// Where there is data, what the work of serving a part takes: so long for each unit, on so many cores, with
	// parts beyond that waiting their turn. 0 takes no time.
	Unit  time.Duration
	Cores int

	mu    sync.Mutex
	asks  map[int]int
	runs  map[int]int
	seen  []string
	units float64
	slots chan struct{}
}

// take records that a part was asked for and says what to do with it.
func (f *Fleet) take(shard int, what string) Reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.asks == nil {
		f.asks, f.runs = map[int]int{}, map[int]int{}
	}
	r := Reply{}
	if f.Script != nil {
		r = f.Script(shard, f.asks[shard])
	}
	f.asks[shard]++
	if f.Data == nil && f.Heard == nil { // who hears of each, or has a long run, needs no list
		f.seen = append(f.seen, what)
	}
	if r.Kind != Reject {
		f.runs[shard]++
	}
	return r
}

// Runs is how often parts of a shard were taken to be run.
func (f *Fleet) Runs(shard int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[shard]
}

// Units is the work done so far.
func (f *Fleet) Units() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.units
}

// work does so many units of work, when a core is free; false if the asker left before it was begun. What has
// begun is done to its end.
func (f *Fleet) work(units float64, gone <-chan struct{}) bool {
	f.mu.Lock()
	if f.slots == nil {
		f.slots = make(chan struct{}, max(1, f.Cores))
	}
	f.mu.Unlock()
	if f.Unit > 0 {
		select {
		case f.slots <- struct{}{}:
			defer func() { <-f.slots }()
		case <-gone:
			return false
		}
	}
	f.mu.Lock()
	f.units += units
	f.mu.Unlock()
	time.Sleep(time.Duration(units * float64(f.Unit)))
	return true
}

// Seen is what was asked for, in order.
func (f *Fleet) Seen() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.seen...)
}

// Discovery answers each call with the same list; a watch is held for its time.
func Discovery(l net.Listener, list func() string) {
	http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms")); hold > 0 {
			select {
			case <-time.After(time.Duration(hold) * time.Millisecond):
			case <-r.Context().Done():
			}
		}
		io.WriteString(w, list())
	}))
}
