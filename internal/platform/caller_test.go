package platform

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/core"
)

// A connection carries at most CallsPerConn calls at once, and a further call opens another connection. A call of two
// parts is one frame.
func TestCallsPerConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFakeReplica(2)
		for i := range 5 {
			id := fmt.Sprint(i)
			r.caller.Call(replicaAt("n"),
				[]*core.Attempt{{QueryID: id, ReplicaID: "n"}, {QueryID: id, Shard: 1, ReplicaID: "n"}})
			synctest.Wait()
		}
		if r.connCount != 3 || len(r.frames) != 5 {
			t.Errorf("%d connections and %d frames for 5 calls, want 3 and 5", r.connCount, len(r.frames))
		}
		r.caller.Close()
	})
}

// The frame of a call has the format of the protocol's page.
func TestCallFrame(t *testing.T) {
	at := &core.Attempt{QueryID: "9b1f", Shard: 3, Timeout: 240 * time.Millisecond, Body: []byte("c41e77d0")}
	got := callFrame([]*core.Attempt{at})
	if want := append([]byte{26, 0, 0, 0, '1'}, "9b1f.3 3 d=240 8\nc41e77d0"...); !bytes.Equal(got, want) {
		t.Errorf("frame %q, want %q", got, want)
	}
}

// openConns counts the connections in a Caller's own list.
func openConns(caller *Caller) (n int) {
	for _, list := range caller.conns {
		n += len(list)
	}
	return n
}

// MaxConns limits all connections. At the limit an idle connection is closed for a new one. If none is idle, calls wait
// at a replica that already has a connection. Unused connections are closed after the idle time-out, so that removed
// replicas leave nothing behind.
func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFakeReplica(1)
		r.caller.MaxConns = 2
		call := func(replica string) {
			id := fmt.Sprint(r.connCount, len(r.frames))
			r.caller.Call(replicaAt(replica), []*core.Attempt{{QueryID: id, ReplicaID: replica}})
			synctest.Wait()
		}
		call("a")
		r.sendAnswer(r.frames[0][1:])
		call("b")
		if call("b"); openConns(r.caller) != 2 || r.connCount != 3 || len(r.caller.conns["a"]) != 0 {
			t.Errorf("%d connections open, %d opened: the idle one was not closed for a new one",
				openConns(r.caller), r.connCount)
		}
		if call("b"); openConns(r.caller) != 2 || len(r.frames) != 4 {
			t.Errorf("%d connections and %d frames: the call to a busy replica did not wait at it",
				openConns(r.caller), len(r.frames))
		}
		if call("c"); openConns(r.caller) != 3 {
			t.Errorf("%d connections, want 3: a replica has none", openConns(r.caller))
		}
		for _, id := range r.frames[4:] {
			r.sendAnswer(id[1:])
		}
		if time.Sleep(time.Minute); len(r.caller.conns["c"]) != 0 || openConns(r.caller) != 2 {
			t.Errorf("connections %v after a minute, want two and none to c", r.caller.conns)
		}
		r.caller.Close()
		synctest.Wait()
		if len(r.caller.conns) > 0 || len(r.caller.attempts) > 0 {
			t.Errorf("%d replicas and %d attempts remain after Close, want none",
				len(r.caller.conns), len(r.caller.attempts))
		}
	})
}

// A part is sent twice to one replica, and the first attempt is cancelled while the replica does not read, so that the
// cancellation waits to be written. An answer then has to go to the second attempt, which is still needed. If it went
// to the first, it would be lost.
func TestAnswerGoesToAttemptNotCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFakeReplica(4)
		first, second := &core.Attempt{QueryID: "q", ReplicaID: "n"}, &core.Attempt{QueryID: "q", ReplicaID: "n"}
		r.caller.Call(replicaAt("n"), []*core.Attempt{first})
		r.caller.Call(replicaAt("n"), []*core.Attempt{second})
		synctest.Wait()
		r.stopReading()
		r.caller.Cancel(first)
		synctest.Wait()
		r.send(appendFrame(nil, frameAnswer, []byte("q.0 S 1 -\nv")), 99)
		if len(r.ended[first]) != 0 || len(r.ended[second]) != 1 {
			t.Errorf("outcomes of the first attempt %v, want none; of the second %v, want one",
				r.ended[first], r.ended[second])
		}
		r.caller.Close()
		synctest.Wait()
		r.current.Close()
	})
}
