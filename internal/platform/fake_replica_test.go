package platform

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
)

// gatedConn is the Caller's end of a connection to a replica. While the gate blocks, writes wait, and fail if the
// connection is closed.
type gatedConn struct {
	net.Conn
	gate   chan struct{} // closed while writes may pass
	closed chan struct{}
	once   sync.Once
}

func (c *gatedConn) Write(p []byte) (int, error) {
	select {
	case <-c.gate:
		return c.Conn.Write(p)
	case <-c.closed:
		return len(p) - 1, errors.New("connection closed") // all but the last byte was written
	}
}

func (c *gatedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// fakeReplica is a replica on in-memory connections. It reads frames, and sends the answers that the test gives it. It
// also records the outcomes of its Caller's attempts.
type fakeReplica struct {
	caller *Caller

	mu     sync.Mutex
	ended  map[*core.Attempt][]scatter.Outcome
	frames []string // received frames: the kind and the id

	refuses   bool       // it refuses new connections
	conn      *gatedConn // the Caller's end of the last connection; nil if there is none
	current   net.Conn   // the replica's end that send writes to; nil if there is none
	ends      []net.Conn // the replica's ends, in the order of the dials
	connCount int        // number of connections opened
}

// newFakeReplica returns a replica with a Caller that makes at most callsPerConn calls on a connection at once.
func newFakeReplica(callsPerConn int) *fakeReplica {
	r := &fakeReplica{ended: map[*core.Attempt][]scatter.Outcome{}}
	r.caller = &Caller{Reporter: r, CallsPerConn: callsPerConn, ConnectTimeout: time.Second,
		KeepAlive: 30 * time.Second, ResponseTimeout: time.Second / 10, Dial: r.dial}
	return r
}

// AttemptEnded implements core.AttemptReporter.
func (r *fakeReplica) AttemptEnded(at *core.Attempt, o scatter.Outcome, _ []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended[at] = append(r.ended[at], o)
}

// outcomes returns the outcomes that have been reported for an attempt.
func (r *fakeReplica) outcomes(at *core.Attempt) []scatter.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended[at]
}

func (r *fakeReplica) dial(context.Context, string) (net.Conn, error) {
	if r.refuses {
		return nil, errors.New("connection refused")
	}
	callerEnd, replicaEnd := net.Pipe()
	r.conn = &gatedConn{Conn: callerEnd, gate: make(chan struct{}), closed: make(chan struct{})}
	close(r.conn.gate)
	r.current = replicaEnd
	r.ends = append(r.ends, replicaEnd)
	r.connCount++
	go r.readFrames(replicaEnd)
	return r.conn, nil
}

// readFrames records the received frames until the connection ends.
func (r *fakeReplica) readFrames(conn net.Conn) {
	for {
		var n uint32
		if binary.Read(conn, binary.LittleEndian, &n) != nil {
			return
		}
		frame := make([]byte, n)
		if _, err := io.ReadFull(conn, frame); err != nil {
			return
		}
		id, _, _ := strings.Cut(string(frame), " ")
		r.mu.Lock()
		r.frames = append(r.frames, id)
		r.mu.Unlock()
	}
}

// send writes data from the replica's end in pieces of size+1 bytes.
func (r *fakeReplica) send(data []byte, size int) {
	conn := r.current
	go func() {
		for len(data) > 0 {
			n, err := conn.Write(data[:min(len(data), 1+size)])
			if err != nil {
				return
			}
			data = data[n:]
		}
	}()
	synctest.Wait()
}

// sendAnswer sends a successful answer to a part in one piece.
func (r *fakeReplica) sendAnswer(id string) {
	r.send(appendFrame(nil, frameAnswer, fmt.Appendf(nil, "%s S 0 -\nv", id)), 1<<20)
}

// stopReading makes the replica stop reading, so that the Caller's writes wait.
func (r *fakeReplica) stopReading() { r.conn.gate = make(chan struct{}) }

// readAgain ends stopReading.
func (r *fakeReplica) readAgain() { close(r.conn.gate) }

// replicaAt returns the endpoint of a replica whose address is its id.
func replicaAt(id string) core.Endpoint {
	return core.Endpoint{Replica: scatter.Replica{ID: id}, Address: id}
}
