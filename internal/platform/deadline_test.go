package platform

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/http1"
	"harepass/internal/test/fake"
)

// deadlineSlack is by how much the time sent to a replica may exceed the time that the client has left.
const deadlineSlack = 150 * time.Millisecond

// The time sent to a replica is what the client has left when the frame is written. It is not what was left when the
// attempt was decided, because the attempt may have waited for its connection since.
func TestReplicaGetsTheTimeThatIsLeft(t *testing.T) {
	const budget, late = 1400 * time.Millisecond, 400 * time.Millisecond
	type received struct {
		list string
		at   time.Time
	}
	parts := make(chan received, 8)
	fleet := &fake.Replicas{OnPart: func(p fake.Part, _ fake.Kind) { parts <- received{p.List, time.Now()} }}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go fleet.ServeFrames(l)
	caller := &Caller{
		CallsPerConn: 32, ConnectTimeout: 5 * time.Second, ResponseTimeout: time.Second, KeepAlive: 30 * time.Second,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			time.Sleep(late)
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		},
	}
	defer caller.Close()
	clock := core.SystemClock()
	coordinator := newOneReplicaCoordinator(t, caller, clock)
	runWithReplica(t, coordinator, l.Addr().String())
	until := time.Now().Add(budget)
	query := &core.Query{ID: "q", Class: "c", Deadline: clock() + budget, Parts: []core.Part{{Shard: 0, Weight: 1}}}
	a := coordinator.Execute(query, nil)
	if a.Status != core.Served {
		t.Fatalf("answer %+v, want status Served", a)
	}
	part := <-parts
	deadline, err := strconv.Atoi(strings.TrimPrefix(part.list, "d="))
	if left := until.Sub(part.at); err != nil || time.Duration(deadline)*time.Millisecond > left+deadlineSlack {
		t.Errorf("the replica received %q (error %v) while the client had %v left", part.list, err, left)
	}
}

// The time of a request that is pipelined behind another one runs from its arrival, not from its turn.
func TestPipelinedRequestHasWhatIsLeftOfItsTime(t *testing.T) {
	const budget, first = 1400 * time.Millisecond, 600 * time.Millisecond
	parts := make(chan fake.Part, 8)
	fleet := &fake.Replicas{OnPart: func(p fake.Part, _ fake.Kind) { parts <- p },
		Script: func(shard, _ int) fake.Reply {
			return fake.Reply{After: time.Duration(1-shard) * first} // the first request asks for shard 0
		}}
	address := serveFront(t, fleet)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	until := time.Now().Add(budget)
	for shard := range 2 {
		body := fmt.Sprintf(`{"slices":[{"slice":%d,"mass":1}],"filter":"f"}`, shard)
		fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: q%d\r\nX-Call-Class: c\r\n"+
			"X-Budget: %dm\r\nContent-Length: %d\r\n\r\n%s", shard, budget.Milliseconds(), len(body), body)
	}
	<-parts
	second := <-parts
	left := time.Until(until)
	deadline, err := strconv.Atoi(strings.TrimPrefix(second.List, "d="))
	if err != nil || second.ID != "q1.1" || time.Duration(deadline)*time.Millisecond > left+deadlineSlack {
		t.Errorf("the replica received %q for part %s (error %v) while the client had %v left",
			second.List, second.ID, err, left)
	}
}

// newOneReplicaCoordinator returns a coordinator of one replica, which it reaches by a Caller.
func newOneReplicaCoordinator(t *testing.T, caller *Caller, clock core.Clock) *core.Coordinator {
	settings := scatter.Settings{
		Coordinators: 1, RingSize: 1, ReplicationFactor: 1, PartsPerCall: 1, TickInterval: time.Millisecond,
		MaxAttempts: 4, Cancellation: true, RetryAfter: time.Second,
		Classes: []scatter.Class{{Name: "c", LatencyObjective: 1500 * time.Millisecond, Deadline: 3 * time.Second,
			PriorityWeight: 1, CompleteFraction: 1, MinFraction: 1}},
	}
	coordinator, err := core.New(core.Config{Seed: 1, Settings: settings, Clock: clock, Subscribe: func() {},
		PolledSource: "test", Callers: map[string]core.Caller{Scheme: caller}})
	if err != nil {
		t.Fatal(err)
	}
	caller.Reporter = coordinator
	return coordinator
}

// runWithReplica runs a coordinator until the end of the test, with one replica at an address in its list.
func runWithReplica(t *testing.T, coordinator *core.Coordinator, address string) {
	go coordinator.Run()
	t.Cleanup(coordinator.Stop)
	replica := scatter.Replica{ID: "n0", State: scatter.Ready}
	endpoint := core.Endpoint{Replica: replica, Address: address, Scheme: Scheme}
	coordinator.UpdateEndpoints("test", scatter.FullUpdate, []core.Endpoint{endpoint})
}

// serveFront serves the platform's protocol to clients with a coordinator of one replica, and returns the address.
func serveFront(t *testing.T, fleet *fake.Replicas) string {
	replicaListener, clients := listenLocal(t), listenLocal(t)
	go fleet.ServeFrames(replicaListener)
	caller := &Caller{
		CallsPerConn: 32, ConnectTimeout: 5 * time.Second, ResponseTimeout: time.Second, KeepAlive: 30 * time.Second,
	}
	t.Cleanup(caller.Close)
	clock := core.SystemClock()
	coordinator := newOneReplicaCoordinator(t, caller, clock)
	runWithReplica(t, coordinator, replicaListener.Addr().String())
	server := &http1.Server{
		Handler: (&Front{Coordinator: coordinator, Clock: clock}).Handle, Limits: http1.DefaultLimits}
	go server.Serve(clients)
	return clients.Addr().String()
}

func listenLocal(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}
