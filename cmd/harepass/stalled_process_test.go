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
	stallTime   = 150 * time.Millisecond // for how long a coordinator is suspended in most cases
	clientCount = 20                     // clients at once
	// silentClientTimeout is when the first request of a new connection is overdue.
	silentClientTimeout = 2200 * time.Millisecond
	// maxAttemptAfterDisconnect is how long after its client has left an attempt may begin at most.
	maxAttemptAfterDisconnect = 100 * time.Millisecond
)

// stallRun is a process that is suspended once, its clients, and when each attempt came to a replica.
type stallRun struct {
	*testing.T
	*limitedProcess
	clients []*rawClient

	mu             sync.Mutex
	attempts       map[string][]time.Time // by query
	disconnectedAt time.Time              // when the clients closed
	reply          fake.Reply             // of the replicas
}

// newStallRun starts the process with replicas that record attempts.
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

// setReply has the replicas answer parts so from now on.
func (r *stallRun) setReply(reply fake.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reply = reply
}

func (r *stallRun) signal(s syscall.Signal) {
	if err := r.Process.Signal(s); err != nil {
		r.Error(err)
	}
}

// connect opens clients; used ones have had an answer and are idle.
func (r *stallRun) connect(used bool) {
	for i := range clientCount {
		c := dialRaw(r.T, r.address)
		r.clients = append(r.clients, c)
		if !used {
			continue
		}
		c.send(r.T, fmt.Sprint("first-", i), "route-lookup", 2*time.Second, i%6)
		if status, err := c.readAnswer(3 * time.Second); status != 200 {
			r.Errorf("the first answer: %d, %v", status, err)
		}
	}
}

// sendAll has every client send a query.
func (r *stallRun) sendAll() {
	for i, c := range r.clients {
		c.send(r.T, fmt.Sprint("during-stall-", i), "route-lookup", 2*time.Second, i%6)
	}
}

// sendLong has every client send a query that takes longer than the process has.
func (r *stallRun) sendLong() {
	for i, c := range r.clients {
		c.send(r.T, fmt.Sprint("long-", i), "conditions-summary", 5*time.Second, 0, 1, 2, 3, 4, 5)
	}
}

// disconnectAll has every client close.
func (r *stallRun) disconnectAll() {
	for _, c := range r.clients {
		c.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disconnectedAt = time.Now()
}

// checkAllAnswered fails where some client gets no complete answer.
func (r *stallRun) checkAllAnswered() {
	lost := 0
	var last error
	for _, c := range r.clients {
		if _, err := c.readAnswer(3 * time.Second); err != nil {
			lost, last = lost+1, err
		}
	}
	if lost > 0 {
		r.Errorf("%d of %d requests got no answer, the last one: %v", lost, len(r.clients), last)
	}
}

// checkNoLateAttempt fails where an attempt began long after its client had left.
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
		r.Errorf("%d attempts began over %v after their clients had left", late, maxAttemptAfterDisconnect)
	}
}

// stallCase is one moment in which a coordinator is suspended while its clients act.
type stallCase struct {
	name    string
	prepare func(r *stallRun) // brings the clients to where they are before the stall
	delay   time.Duration     // between prepare and the stall
	during  func(r *stallRun) // while the process is suspended
	stall   time.Duration     // for how long it is, after during
	check   func(r *stallRun) // after it goes on
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
			time.Sleep(lifecycle.MaxKillDelay - stallTime) // when the platform may kill
			r.signal(syscall.SIGKILL)
			r.checkAllAnswered()
		},
	},
}

// A coordinator is suspended for a moment, as one of many on busy cores is, and its clients act meanwhile. When it
// goes on, its timers have expired although its sockets hold what came in time. Every request that came has its
// answer, and no attempt is sent for a client that has left.
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
