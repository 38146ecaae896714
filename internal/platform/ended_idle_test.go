package platform

import (
	"context"
	"net"
	"testing"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
)

// lateReader is a connection whose reader has its turns only as the test gives them.
type lateReader struct {
	*net.TCPConn
	turns chan struct{}
}

func (c *lateReader) Read(p []byte) (int, error) {
	<-c.turns
	return c.TCPConn.Read(p)
}

// A node ends a connection while it is idle, and a call is about to be written to it before the reader has seen the
// end. The call has not begun, goes elsewhere, and says nothing of the node: written, it would be a reset, after
// which a report may have run.
func TestCallToAConnectionThatItsNodeHasEnded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	turns := make(chan struct{}, 10)
	p := &player{t: t, ended: map[*core.Attempt][]scatter.Outcome{}}
	p.nodes = &Caller{Reporter: p, CallsPerConn: 4, ConnectTimeout: time.Second, KeepAlive: time.Minute, ResponseTimeout: time.Minute,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return &lateReader{c.(*net.TCPConn), turns}, nil
		}}
	node := core.Endpoint{Replica: scatter.Replica{ID: "n"}, Address: l.Addr().String()}
	outcome := func(at *core.Attempt) scatter.Outcome {
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			p.mu.Lock()
			got := p.ended[at]
			p.mu.Unlock()
			if len(got) > 0 {
				return got[0]
			}
		}
		t.Fatal("no outcome")
		return 0
	}
	first, second := &core.Attempt{QueryID: "first", ReplicaID: "n"}, &core.Attempt{QueryID: "second", ReplicaID: "n"}
	p.nodes.Call(node, []*core.Attempt{first})
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c.Read(make([]byte, 100))
	turns <- struct{}{}
	c.Write(appendFrame(nil, frameAnswer, []byte("first.0 S 0 -\nv")))
	if got := outcome(first); got != scatter.Succeeded {
		t.Fatalf("the first call ended as %v", got)
	}
	c.Close()
	time.Sleep(10 * time.Millisecond)
	p.nodes.Call(node, []*core.Attempt{second})
	time.Sleep(20 * time.Millisecond)
	for range 5 {
		turns <- struct{}{}
	}
	if got := outcome(second); got != scatter.NotSent {
		t.Errorf("the call ended as outcome %v, want one that has never begun", got)
	}
}
