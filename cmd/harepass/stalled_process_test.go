package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"harepass/internal/lifecycle"
	"harepass/internal/test/fake"
)

const (
	stallTime   = 150 * time.Millisecond // how long a coordinator is suspended in most cases
	clientCount = 20                     // number of concurrent clients
	// silentClientTimeout is the age of a new connection at which its first request is overdue.
	silentClientTimeout = 2200 * time.Millisecond
	// maxAttemptAfterDisconnect is the maximum time after a client's disconnection at which an attempt for it may
	// begin.
	maxAttemptAfterDisconnect = 100 * time.Millisecond
)

// stallRun is a process that is suspended once, its clients, and the time of each attempt at a replica.
type stallRun struct {
	*testing.T
	*limitedProcess
	clients []*rawClient

	mu             sync.Mutex
	attempts       map[string][]time.Time // times by query
	disconnectedAt time.Time              // when the clients closed their connections
	reply          fake.Reply             // what the replicas answer
}

// newStallRun starts the process with replicas that record the time of each attempt.
func newStallRun(t *testing.T) *stallRun {
	r := &stallRun{T: t, limitedProcess: newLimitedProcess(t, 256, 6), attempts: map[string][]time.Time{}}
	for _, replica := range r.replicas {
		replica.Script = func(int, int) fake.Reply {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.reply
		}
		replica.OnPart = func(p fake.Part, _ fake.Kind) {
			r.mu.Lock()
			defer r.mu.Unlock()
			query, _, _ := strings.Cut(p.ID, ".")
			r.attempts[query] = append(r.attempts[query], time.Now())
		}
	}
	startFleetMember(t, r.limitedProcess, &crowdedDiscovery{process: r.limitedProcess}, 3)
	return r
}

// setReply sets the replicas' reply to parts from now on.
func (r *stallRun) setReply(reply fake.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reply = reply
}

// signal sends a signal to the process.
func (r *stallRun) signal(s syscall.Signal) {
	if err := r.Process.Signal(s); err != nil {
		r.Error(err)
	}
}

// connect opens the clients' connections. If used is set, each has received an answer and is idle.
func (r *stallRun) connect(used bool) {
	for i := range clientCount {
		c := dialRaw(r.T, r.address)
		r.clients = append(r.clients, c)
		if !used {
			continue
		}
		c.send(r.T, fmt.Sprint("first-", i), "route-lookup", 2*time.Second, i%6)
		if status, err := c.readAnswer(3 * time.Second); status != 200 {
			r.Errorf("first answer of a client: status %d, error %v; want 200", status, err)
		}
	}
}

// sendAll sends a query from every client.
func (r *stallRun) sendAll() {
	for i, c := range r.clients {
		c.send(r.T, fmt.Sprint("during-stall-", i), "route-lookup", 2*time.Second, i%6)
	}
}

// sendLong sends a query from every client that takes longer than the time until the process is killed.
func (r *stallRun) sendLong() {
	for i, c := range r.clients {
		c.send(r.T, fmt.Sprint("long-", i), "conditions-summary", 5*time.Second, 0, 1, 2, 3, 4, 5)
	}
}

// disconnectAll closes the connection of every client.
func (r *stallRun) disconnectAll() {
	for _, c := range r.clients {
		c.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disconnectedAt = time.Now()
}

// checkAllAnswered fails if a client gets no complete answer.
func (r *stallRun) checkAllAnswered() {
	lost := 0
	var last error
	for _, c := range r.clients {
		if _, err := c.readAnswer(3 * time.Second); err != nil {
			lost, last = lost+1, err
		}
	}
	if lost > 0 {
		r.Errorf("%d of %d requests got no complete answer; last error: %v", lost, len(r.clients), last)
	}
}

// checkNoLateAttempt fails if an attempt began more than maxAttemptAfterDisconnect after the clients had left.
func (r *stallRun) checkNoLateAttempt() {
	time.Sleep(500 * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	late := 0
	for _, times := range r.attempts {
		for _, at := range times {
			if at.Sub(r.disconnectedAt) > maxAttemptAfterDisconnect {
				late++
			}
		}
	}
	if late > 0 {
		r.Errorf("%d attempts began more than %v after their clients had left", late, maxAttemptAfterDisconnect)
	}
}

// stallCase describes when a coordinator is suspended and what its clients do at that time.
type stallCase struct {
	name    string
	prepare func(r *stallRun) // brings the clients into their state before the stall
	delay   time.Duration     // between prepare and the stall
	during  func(r *stallRun) // while the process is suspended
	stall   time.Duration     // how long the suspension lasts after during returns
	check   func(r *stallRun) // after the process continues
}

var stallCases = []stallCase{
	{
		name:    "requests come before idle connections are closed at a shutdown",
		prepare: func(r *stallRun) { r.connect(true); r.signal(syscall.SIGTERM) },
		delay:   lifecycle.AcceptAfterTerm + lifecycle.MaxCloseIdleDelay - stallTime/2,
		during:  (*stallRun).sendAll, stall: stallTime, check: (*stallRun).checkAllAnswered,
	},
	{
		name:    "first requests come before silent connections are closed",
		prepare: func(r *stallRun) { r.connect(false) },
		delay:   silentClientTimeout - stallTime/2,
		during:  (*stallRun).sendAll, stall: stallTime, check: (*stallRun).checkAllAnswered,
	},
	{
		name:    "connections come before the listener is closed",
		prepare: func(r *stallRun) { r.signal(syscall.SIGTERM) },
		delay:   lifecycle.AcceptAfterTerm - stallTime/2,
		during:  func(r *stallRun) { r.connect(false); r.sendAll() },
		stall:   stallTime, check: (*stallRun).checkAllAnswered,
	},
	{
		name: "clients leave before their parts are sent again",
		prepare: func(r *stallRun) {
			r.connect(true)
			r.setReply(fake.Reply{Kind: fake.Fail, After: 60 * time.Millisecond})
			r.sendAll()
		},
		delay:  20 * time.Millisecond,
		during: (*stallRun).disconnectAll, stall: 2 * stallTime, check: (*stallRun).checkNoLateAttempt,
	},
	{
		name:    "clients leave before their requests are read",
		prepare: func(r *stallRun) { r.connect(true) },
		delay:   20 * time.Millisecond,
		during:  func(r *stallRun) { r.sendAll(); r.disconnectAll() },
		stall:   stallTime, check: (*stallRun).checkNoLateAttempt,
	},
	{
		name: "a long query is open at a shutdown",
		prepare: func(r *stallRun) {
			r.connect(true)
			r.setReply(fake.Reply{Kind: fake.NoReply})
			r.sendLong()
			time.Sleep(50 * time.Millisecond)
			r.signal(syscall.SIGTERM)
		},
		delay:  lifecycle.AcceptAfterTerm,
		during: func(*stallRun) {}, stall: stallTime,
		check: func(r *stallRun) {
			time.Sleep(lifecycle.MaxKillDelay - stallTime) // earliest time at which the platform may kill the process
			r.signal(syscall.SIGKILL)
			r.checkAllAnswered()
		},
	},
}

// A coordinator is suspended briefly, as happens on busy cores, while its clients send requests or disconnect. When it
// continues, its timers have expired although its sockets hold data that arrived in time. Every request that arrived is
// answered, and no attempt is sent for a client that has left.
func TestNoRequestIsLostAfterStall(t *testing.T) {
	t.Parallel()
	for _, c := range stallCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newStallRun(t)
			c.prepare(r)
			time.Sleep(c.delay)
			r.signal(syscall.SIGSTOP)
			c.during(r)
			time.Sleep(c.stall)
			r.signal(syscall.SIGCONT)
			c.check(r)
			if t.Failed() {
				t.Log(r.log)
			}
		})
	}
}
