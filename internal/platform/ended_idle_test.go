package platform

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/http1"
)

// idleEndFixture is a caller and its replica on a real socket; the test speaks for the replica.
type idleEndFixture struct {
	*fakeReplica
	t       *testing.T
	l       net.Listener
	replica core.Endpoint
}

func newIdleEndFixture(t *testing.T, callsPerConn int, dial http1.Dialer) *idleEndFixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	fx := &idleEndFixture{fakeReplica: newFakeReplica(callsPerConn), t: t, l: l}
	fx.caller.KeepAlive, fx.caller.ResponseTimeout, fx.caller.Dial = time.Minute, time.Minute, dial
	fx.replica = core.Endpoint{Replica: scatter.Replica{ID: "n"}, Address: l.Addr().String()}
	return fx
}

// callFirst makes the call that opens the connection, and reads it at the replica's end, which it returns.
func (fx *idleEndFixture) callFirst() (first *core.Attempt, replicaEnd net.Conn) {
	fx.t.Helper()
	first = &core.Attempt{QueryID: "first", Endpoint: "n"}
	fx.caller.Call(fx.replica, []*core.Attempt{first})
	c, err := fx.l.Accept()
	if err != nil {
		fx.t.Fatal(err)
	}
	fx.t.Cleanup(func() { c.Close() })
	c.Read(make([]byte, 100))
	return first, c
}

// awaitOutcome returns the first outcome of an attempt.
func (fx *idleEndFixture) awaitOutcome(at *core.Attempt) scatter.Outcome {
	fx.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if got := fx.outcomes(at); len(got) > 0 {
			return got[0]
		}
	}
	fx.t.Fatal("no outcome")
	return 0
}

// steppedReader is a connection whose reads return only as the test lets them.
type steppedReader struct {
	*net.TCPConn
	reads chan struct{} // one for each read
}

func (c *steppedReader) Read(p []byte) (int, error) {
	<-c.reads
	return c.TCPConn.Read(p)
}

// A replica ends a connection while it is idle, and a call is about to be written to it before the reader has seen the
// end. The call has not begun, goes elsewhere, and says nothing of the replica: written, it would be a reset, after
// which a report may have run.
func TestCallToConnectionThatReplicaHasEnded(t *testing.T) {
	reads := make(chan struct{}, 10)
	fx := newIdleEndFixture(t, 4, func(ctx context.Context, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &steppedReader{c.(*net.TCPConn), reads}, nil
	})
	first, replicaEnd := fx.callFirst()
	reads <- struct{}{}
	replicaEnd.Write(appendFrame(nil, frameAnswer, []byte("first.0 S 0 -\nv")))
	if got := fx.awaitOutcome(first); got != scatter.Succeeded {
		t.Fatalf("the first call ended as %v", got)
	}
	replicaEnd.Close()
	time.Sleep(10 * time.Millisecond)
	second := &core.Attempt{QueryID: "second", Endpoint: "n"}
	fx.caller.Call(fx.replica, []*core.Attempt{second})
	time.Sleep(20 * time.Millisecond)
	for range 5 {
		reads <- struct{}{}
	}
	if got := fx.awaitOutcome(second); got != scatter.NotSent {
		t.Errorf("the call ended as outcome %v, want one that has never begun", got)
	}
}

// lockOrder hands a mutex to goroutines in an order that the test makes: once a goroutine has waited for the lock in
// vain, it goes to those who wait, in their order.
type lockOrder struct {
	mu       *sync.Mutex
	regained bool // guarded by mu: the test has had the lock again after the first in line
}

// untilWaiting is a pause in which a goroutine comes to wait for a lock.
const untilWaiting = 20 * time.Millisecond

// pass unlocks, and locks again behind the goroutine that has waited longest; from there on the lock goes in order.
func (o *lockOrder) pass() {
	o.mu.Unlock()
	o.mu.Lock()
	o.regained = true
	time.Sleep(untilWaiting)
	o.mu.Unlock()
}

// holdBehind takes the lock after the test has regained it, says so, and passes it on when release is closed.
func (o *lockOrder) holdBehind(holds, release chan struct{}) {
	o.mu.Lock()
	for !o.regained { // it came before the test, which would wait for it for ever: the test is first
		o.mu.Unlock()
		time.Sleep(time.Millisecond)
		o.mu.Lock()
	}
	close(holds)
	<-release
	o.pass()
}

// Half a frame ends an idle connection, and a call comes in that very moment. The call goes on a new connection, and
// does not count as refused by the replica. The moment is made, on real sockets: the reader's look whether any
// attempt is out, and behind it the call, wait for the caller's lock.
func TestCallWhileIdleConnectionEnds(t *testing.T) {
	fx := newIdleEndFixture(t, 1, nil)
	first, replicaEnd := fx.callFirst()
	replicaEnd.Write(appendFrame(nil, frameAnswer, []byte("first.0 S 0 -\nv")))
	for len(fx.outcomes(first)) == 0 {
		time.Sleep(time.Millisecond)
	}
	order := &lockOrder{mu: &fx.caller.mu}
	order.mu.Lock()
	replicaEnd.Write([]byte{99, 0, 0}) // the reader asks for its time-outs, and then looks
	time.Sleep(untilWaiting)
	holds, release, called := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go order.holdBehind(holds, release)
	time.Sleep(untilWaiting)
	order.pass()
	<-holds
	time.Sleep(untilWaiting)
	second := &core.Attempt{QueryID: "second", Endpoint: "n"}
	go func() { fx.caller.Call(fx.replica, []*core.Attempt{second}); close(called) }()
	time.Sleep(untilWaiting)
	close(release)
	<-called
	time.Sleep(2 * untilWaiting)
	if got := fx.outcomes(second); len(got) > 0 {
		t.Errorf("the call ended %v", got)
	}
	fx.caller.Close()
}
