package fake

import (
	"slices"
	"sync"
	"time"
)

// Kind is how a replica responds to a part.
type Kind int

// The kinds of replies.
const (
	Serve      Kind = iota
	Fail            // an error after the work has begun
	Reject          // a rejection for lack of capacity, before any work
	NoReply         // the part is accepted and never answered
	Disconnect      // the connection is closed after the part was accepted
	Corrupt         // an unreadable answer
)

// Reply is how and when a replica responds to a part.
type Reply struct {
	Kind  Kind
	After time.Duration // time from the part's arrival to the reply
}

// Part is a part as the first line of its frame describes it.
type Part struct {
	ID    string
	Shard int
	List  string // parameters of the part, such as "d=240" for a deadline in milliseconds
}

// Replicas emulates one replica, or several that share a script, a record of requests and data. The zero value serves
// every part at once.
type Replicas struct {
	// Script decides how a part is answered, from its shard and the number of earlier parts of that shard at all
	// replicas. It is called with mu held. If it is nil, every part is served at once.
	Script func(shard, attempt int) Reply
	// OnPart, if not nil, is called with each part that arrives in a frame and the kind of its reply.
	OnPart func(part Part, kind Kind)
	// Data holds the documents that searches find. If it is nil, each shard has one document that never changes.
	Data *Data
	// WorkUnit is the duration of one unit of work, if Data is set; 0 for no time.
	WorkUnit time.Duration
	// Cores is how many parts are processed at once if WorkUnit is set; other parts wait. Values below 1 count as 1.
	Cores int

	mu         sync.Mutex
	requests   map[int]int // by shard
	executions map[int]int // by shard: requests that were not rejected
	received   []string    // first lines of frames, or methods and URLs, in order of arrival
	workDone   float64     // units of work
	cores      chan struct{}
}

// receive records a request for a part and decides how it is answered. It lists the request only if Data and OnPart are
// nil, because the list would grow without bound in a long run.
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

// Executions returns how many parts of a shard were not rejected.
func (r *Replicas) Executions(shard int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.executions[shard]
}

// WorkDone returns how many units of work have been done so far.
func (r *Replicas) WorkDone() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.workDone
}

// Received returns the requests so far, in order of arrival: the first lines of frames, or method, URL and idempotency
// key. The list is empty if Data or OnPart is set.
func (r *Replicas) Received() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.received)
}

// work does units of work once a core is free. It reports false if the caller left before the work began; work that has
// begun is completed. A nil callerLeft stands for a caller that never leaves.
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

// allCores returns the semaphore for the cores: a channel with room for as many parts as are processed at once.
func (r *Replicas) allCores() chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cores == nil {
		r.cores = make(chan struct{}, max(1, r.Cores))
	}
	return r.cores
}
