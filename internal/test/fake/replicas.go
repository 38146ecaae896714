package fake

import (
	"slices"
	"sync"
	"time"
)

// Kind is what a replica does with a part.
type Kind int

// The kinds of replies.
const (
	Serve      Kind = iota
	Fail            // an error after the work began
	Reject          // a rejection for want of capacity, before any work
	NoReply         // the part is taken and never answered
	Disconnect      // the connection is closed after the part was taken
	Corrupt         // an answer that cannot be read
)

// Reply is what a replica does with a part.
type Reply struct {
	Kind  Kind
	After time.Duration // from the part's arrival to the reply
}

// Part is a part as its line in a frame has it.
type Part struct {
	ID    string
	Shard int
	List  string // what goes with the part, as "d=240" for a deadline in milliseconds
}

// Replicas is one replica, or several with a common script, record and data. The zero value serves everything at once.
type Replicas struct {
	// Script decides what becomes of a part, given its shard and how many parts of the shard came before, at all
	// replicas. It is called under a lock; nil serves every part at once.
	Script func(shard, attempt int) Reply
	// OnPart is called with each part that comes in a frame, and what becomes of it; nil for nobody.
	OnPart func(part Part, kind Kind)
	// Data is what searches find; nil gives each shard one document that never changes.
	Data *Data
	// WorkUnit is how long a unit of work takes where there is Data; 0 for no time.
	WorkUnit time.Duration
	// Cores is how many parts are worked on at once where WorkUnit is set; others wait. Fewer than 1 counts as 1.
	Cores int

	mu         sync.Mutex
	requests   map[int]int // by shard
	executions map[int]int // by shard: requests that were not rejected
	received   []string    // lines of frames, or methods and URLs, in order
	workDone   float64     // units of work
	cores      chan struct{}
}

// receive records a request for a part and decides what becomes of it. Only replicas without Data and OnPart keep a
// list of requests: it would grow without bound in a long run.
func (r *Replicas) receive(shard int, request string) Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requests == nil {
		r.requests, r.executions = map[int]int{}, map[int]int{}
	}
	reply := Reply{}
	if r.Script != nil {
		reply = r.Script(shard, r.requests[shard])
	}
	r.requests[shard]++
	if r.Data == nil && r.OnPart == nil {
		r.received = append(r.received, request)
	}
	if reply.Kind != Reject {
		r.executions[shard]++
	}
	return reply
}

// Executions is how many parts of a shard were not rejected.
func (r *Replicas) Executions(shard int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.executions[shard]
}

// WorkDone is how many units of work were done so far.
func (r *Replicas) WorkDone() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.workDone
}

// Received lists the requests so far, in order: the lines of frames, or method, URL and idempotency key. Replicas with
// Data or OnPart keep none.
func (r *Replicas) Received() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.received)
}

// work does so many units of work once a core is free. It reports false if the caller left before the work began; what
// has begun is done to its end. A nil channel is a caller who stays.
func (r *Replicas) work(units float64, callerLeft <-chan struct{}) bool {
	if r.WorkUnit > 0 {
		cores := r.allCores()
		select {
		case cores <- struct{}{}:
			defer func() { <-cores }()
		case <-callerLeft:
			return false
		}
	}
	r.mu.Lock()
	r.workDone += units
	r.mu.Unlock()
	time.Sleep(time.Duration(units * float64(r.WorkUnit)))
	return true
}

// allCores is a channel that has room for as many parts as are worked on at once.
func (r *Replicas) allCores() chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cores == nil {
		r.cores = make(chan struct{}, max(1, r.Cores))
	}
	return r.cores
}
