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

// idleEndFixture is a Caller and its replica on a real socket. The test acts as the replica.
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

// callFirst makes the call that opens the connection, reads it at the replica's end, and returns both.
func (fx *idleEndFixture) callFirst() (first *core.Attempt, replicaEnd net.Conn) {
	fx.t.Helper()
	first = &core.Attempt{QueryID: "first", ReplicaID: "n"}
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
	fx.t.Fatal("the attempt has no outcome after 10 s")
	return 0
}

// steppedReader is a connection on which each read waits for the test to permit it.
type steppedReader struct {
	*net.TCPConn
	reads chan struct{} // holds a token for each permitted read
}

func (c *steppedReader) Read(p []byte) (int, error) {
	<-c.reads
	return c.TCPConn.Read(p)
}

// A replica closes an idle connection, and a call is about to be written to it before the reader has seen the close.
// The call must end as NotSent, so that it is sent elsewhere and says nothing about the replica. If it were written, it
// would end as ConnectionReset, after which a report may have run.
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
		t.Fatalf("the first call ended with outcome %v, want Succeeded", got)
	}
	replicaEnd.Close()
	time.Sleep(10 * time.Millisecond)
	second := &core.Attempt{QueryID: "second", ReplicaID: "n"}
	endedBefore := connsEndedWhileIdle.Value()
	fx.caller.Call(fx.replica, []*core.Attempt{second})
	// The writer must find the close before the reader may: the reader alone would end the queued call as ConnectFailed.
	for end := time.Now().Add(5 * time.Second); connsEndedWhileIdle.Value() == endedBefore && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	for range 5 {
		reads <- struct{}{}
	}
	if got := fx.awaitOutcome(second); got != scatter.NotSent {
		t.Errorf("the second call ended with outcome %v, want NotSent", got)
	}
}

// lockOrder passes a mutex between goroutines in an order that the test determines: once a goroutine has failed to get
// the lock for a while, the mutex goes to the waiting goroutines in the order of their arrival.
type lockOrder struct {
	mu       *sync.Mutex
	regained bool // guarded by mu: the test has regained the lock after the first waiting goroutine
}

// untilWaiting is a pause that is long enough for a goroutine to wait for a lock.
const untilWaiting = 20 * time.Millisecond

// pass unlocks the mutex and locks it again behind the goroutine that has waited longest. From then on the lock goes to
// waiting goroutines in the order of their arrival.
func (o *lockOrder) pass() {
	o.mu.Unlock()
	o.mu.Lock()
	o.regained = true
	time.Sleep(untilWaiting)
	o.mu.Unlock()
}

// holdBehind takes the lock after the test has regained it, closes holds, and passes the lock on once release is
// closed.
func (o *lockOrder) holdBehind(holds, release chan struct{}) {
	o.mu.Lock()
	for !o.regained { // it got the lock before the test, which would then wait for it for ever; the test goes first
		o.mu.Unlock()
		time.Sleep(time.Millisecond)
		o.mu.Lock()
	}
	close(holds)
	<-release
	o.pass()
}

// Half a frame ends an idle connection at the instant at which a call is made. The call must go to a new connection and
// not count as refused by the replica. The test forces this instant on real sockets: the reader's check for outstanding
// attempts waits for the Caller's lock, and the call waits behind it.
func TestCallWhileIdleConnectionEnds(t *testing.T) {
	fx := newIdleEndFixture(t, 1, nil)
	first, replicaEnd := fx.callFirst()
	replicaEnd.Write(appendFrame(nil, frameAnswer, []byte("first.0 S 0 -\nv")))
	for len(fx.outcomes(first)) == 0 {
		time.Sleep(time.Millisecond)
	}
	order := &lockOrder{mu: &fx.caller.mu}
	order.mu.Lock()
	replicaEnd.Write([]byte{99, 0, 0}) // the reader takes the lock for its time-outs, and again for its check
	time.Sleep(untilWaiting)
	holds, release, called := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go order.holdBehind(holds, release)
	time.Sleep(untilWaiting)
	order.pass()
	<-holds
	time.Sleep(untilWaiting)
	second := &core.Attempt{QueryID: "second", ReplicaID: "n"}
	go func() { fx.caller.Call(fx.replica, []*core.Attempt{second}); close(called) }()
	time.Sleep(untilWaiting)
	close(release)
	<-called
	time.Sleep(2 * untilWaiting)
	if got := fx.outcomes(second); len(got) > 0 {
		t.Errorf("the call ended with outcomes %v, want it to be outstanding", got)
	}
	fx.caller.Close()
}
