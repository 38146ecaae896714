package platform

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"harepass/internal/core"
	"harepass/internal/test/fake"
)

const (
	// suspension is how long the process is suspended.
	suspension = 300 * time.Millisecond
	// connectTime is how long a connection to the replica takes.
	connectTime = 30 * time.Millisecond
	// stepsOfCall is more than the steps that a process takes from the arrival of a query until its call is written.
	stepsOfCall = 16
	// maxBeginAfterClientLeft is the maximum time after a client's departure at which an attempt may begin.
	maxBeginAfterClientLeft = 100 * time.Millisecond
)

// suspendedProcess simulates a process that is suspended once, at one of its readings of the clock or at one of its
// questions whether the client has left. Meanwhile, the client may leave.
type suspendedProcess struct {
	mu        sync.Mutex
	clock     core.Clock
	offset    time.Duration // by how much the suspension has advanced the clock
	steps     int           // readings and questions since the query was sent
	suspendAt int           // the step with the suspension, from 1; 0 for none
	leaves    bool          // the client leaves during the suspension
	leftAt    time.Duration // instant of the departure; 0 before it
	writes    []time.Duration
	deadline  time.Duration // of the query
	told      time.Duration // time left that the replica has been told
	left      time.Duration // time that was left when the call was written
}

// step suspends the process if its time has come, and returns the current instant.
func (p *suspendedProcess) step() time.Duration {
	if p.suspendAt > 0 {
		if p.steps++; p.steps == p.suspendAt {
			if p.leaves {
				p.leftAt = p.clock() + p.offset
			}
			p.offset += suspension
		}
	}
	return p.clock() + p.offset
}

// now is the process's clock. A suspension takes place right before the reading.
func (p *suspendedProcess) now() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.step()
}

// clientLeft asks whether the client has left. A suspension takes place after the system's answer, which is then old.
func (p *suspendedProcess) clientLeft() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := p.leftAt > 0
	p.step()
	return left
}

// recordingConn is a connection to a replica that records the instant of each write.
type recordingConn struct {
	net.Conn
	process *suspendedProcess
}

func (c *recordingConn) Write(data []byte) (int, error) {
	p := c.process
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock() + p.offset
	p.writes, p.left = append(p.writes, now), p.deadline-now
	return c.Conn.Write(data)
}

// A process is suspended while it prepares a call, at each of its steps in turn. If the client leaves meanwhile, the
// call does not begin afterwards. If the client stays, the replica is told the time that is left after the suspension.
func TestSuspendedWriterRepeatsItsChecks(t *testing.T) {
	for step := 1; step <= stepsOfCall; step++ {
		p := &suspendedProcess{clock: core.SystemClock(), leaves: true}
		p.execute(t, step)
		for _, at := range p.writes {
			if late := at - p.leftAt; p.leftAt > 0 && late > maxBeginAfterClientLeft {
				t.Errorf("suspended at step %d: a call was written %v after its client had left", step, late)
			}
		}
		p = &suspendedProcess{clock: core.SystemClock()}
		if a := p.execute(t, step); a.Status != core.Served || p.told > p.left+deadlineSlack {
			t.Errorf("suspended at step %d while the client stays: answer %+v; the replica was told %v of %v left",
				step, a, p.told, p.left)
		}
	}
}

// execute submits a query of one part to a coordinator whose process is suspended at the given step. The connection to
// the replica takes longer than an answer about the client counts.
func (p *suspendedProcess) execute(t *testing.T, step int) core.Answer {
	t.Helper()
	replicas, l := &fake.Replicas{}, listenLocal(t)
	replicas.OnPart = func(part fake.Part, _ fake.Kind) { p.recordTold(part) }
	go replicas.ServeFrames(l)
	caller := &Caller{
		CallsPerConn: 32, ConnectTimeout: 5 * time.Second, ResponseTimeout: time.Second, KeepAlive: 30 * time.Second,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			p.pass(connectTime)
			return &recordingConn{conn, p}, err
		},
	}
	defer caller.Close()
	coordinator := newOneReplicaCoordinator(t, caller, p.now)
	runWithReplica(t, coordinator, l.Addr().String())
	query := &core.Query{ID: "q", Class: "c", Deadline: p.now() + 2*time.Second, ClientLeft: p.clientLeft,
		Parts: []core.Part{{Shard: 0, Weight: 1}}}
	p.mu.Lock()
	p.suspendAt, p.deadline = step, query.Deadline
	p.mu.Unlock()
	return coordinator.Execute(query, nil)
}

// pass advances the clock.
func (p *suspendedProcess) pass(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.offset += d
}

// recordTold records the time left that a part names, as "d=" and milliseconds.
func (p *suspendedProcess) recordTold(part fake.Part) {
	milliseconds, _ := strconv.Atoi(strings.TrimPrefix(part.List, "d="))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.told = time.Duration(milliseconds) * time.Millisecond
}
