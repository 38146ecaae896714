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

// deadlineSlack is by how much the deadline that a node is told may be over what its client has left.
const deadlineSlack = 150 * time.Millisecond

// A node is told the time that its client has left when the frame is written, not when the attempt was decided: it
// may have waited for its connection since.
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
	settings := scatter.Settings{
		Coordinators: 1, RingSize: 1, ReplicationFactor: 1, PartsPerCall: 1, TickInterval: time.Millisecond,
		MaxAttempts: 4, Cancellation: true, RetryAfter: time.Second,
		Classes: []scatter.Class{{Name: "c", LatencyObjective: 1500 * time.Millisecond, Deadline: 3 * time.Second,
			PriorityWeight: 1, CompleteFraction: 1, MinFraction: 1}},
	}
	owner, err := core.New(core.Config{Seed: 1, Settings: settings, Clock: clock, Subscribe: func() {},
		PolledSource: "test", Callers: map[string]core.Caller{Scheme: caller}})
	if err != nil {
		t.Fatal(err)
	}
	caller.Reporter = owner
	go owner.Run()
	defer owner.Stop()
	replica := scatter.Replica{ID: "n0", State: scatter.Ready}
	endpoint := core.Endpoint{Replica: replica, Address: l.Addr().String(), Scheme: Scheme}
	owner.UpdateEndpoints("test", scatter.FullUpdate, []core.Endpoint{endpoint})
	until := time.Now().Add(budget)
	query := &core.Query{ID: "q", Class: "c", Deadline: clock() + budget, Parts: []core.Part{{Shard: 0, Weight: 1}}}
	a := owner.Execute(query, nil)
	if a.Status != core.Served {
		t.Fatalf("the answer is %+v", a)
	}
	part := <-parts
	deadline, err := strconv.Atoi(strings.TrimPrefix(part.list, "d="))
	if left := until.Sub(part.at); err != nil || time.Duration(deadline)*time.Millisecond > left+deadlineSlack {
		t.Errorf("the node was told %q, %v, when its client had %v left", part.list, err, left)
	}
}

// The time of a request that is pipelined behind another runs from its coming, not from its turn.
func TestPipelinedRequestHasWhatIsLeftOfItsTime(t *testing.T) {
	const budget, first = 1400 * time.Millisecond, 600 * time.Millisecond
	parts := make(chan fake.Part, 8)
	fleet := &fake.Replicas{OnPart: func(p fake.Part, _ fake.Kind) { parts <- p },
		Script: func(shard, _ int) fake.Reply {
			return fake.Reply{After: time.Duration(1-shard) * first} // the first request asks for shard 0
		}}
	address := serveBehindOwner(t, fleet)
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
		t.Errorf("the node was told %q for %s, %v, when its client had %v left", second.List, second.ID, err, left)
	}
}

// serveBehindOwner serves the platform's protocol before one node, and returns the address.
func serveBehindOwner(t *testing.T, fleet *fake.Replicas) string {
	replicaListener, clients := listenLocal(t), listenLocal(t)
	go fleet.ServeFrames(replicaListener)
	caller := &Caller{
		CallsPerConn: 32, ConnectTimeout: 5 * time.Second, ResponseTimeout: time.Second, KeepAlive: 30 * time.Second,
	}
	t.Cleanup(caller.Close)
	clock := core.SystemClock()
	settings := scatter.Settings{
		Coordinators: 1, RingSize: 1, ReplicationFactor: 1, PartsPerCall: 1, TickInterval: time.Millisecond,
		MaxAttempts: 4, Cancellation: true, RetryAfter: time.Second,
		Classes: []scatter.Class{{Name: "c", LatencyObjective: 1500 * time.Millisecond, Deadline: 3 * time.Second,
			PriorityWeight: 1, CompleteFraction: 1, MinFraction: 1}},
	}
	owner, err := core.New(core.Config{Seed: 1, Settings: settings, Clock: clock, Subscribe: func() {},
		PolledSource: "test", Callers: map[string]core.Caller{Scheme: caller}})
	if err != nil {
		t.Fatal(err)
	}
	caller.Reporter = owner
	replica := scatter.Replica{ID: "n0", State: scatter.Ready}
	endpoint := core.Endpoint{Replica: replica, Address: replicaListener.Addr().String(), Scheme: Scheme}
	owner.UpdateEndpoints("test", scatter.FullUpdate, []core.Endpoint{endpoint})
	go owner.Run()
	t.Cleanup(owner.Stop)
	server := &http1.Server{Handler: (&Front{Coordinator: owner, Clock: clock}).Handle, Limits: http1.DefaultLimits}
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
