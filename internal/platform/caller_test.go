package platform

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/buffer"
	"harepass/internal/core"
	"harepass/internal/decide/scatter"
)

// gate is our end of a connection to a node; while it is shut, writes wait, and fail if it breaks then.
type gate struct {
	net.Conn
	open   chan struct{}
	broken chan struct{}
	once   sync.Once
}

func (g *gate) Write(p []byte) (int, error) {
	select {
	case <-g.open:
		return g.Conn.Write(p)
	case <-g.broken:
		return len(p) - 1, errors.New("broken") // all but the last byte went out
	}
}

func (g *gate) Close() error {
	g.once.Do(func() { close(g.broken) })
	return g.Conn.Close()
}

// player is the model: a node that does as the steps say, and what each attempt has to come to.
type player struct {
	t      *testing.T
	nodes  *Caller
	mu     sync.Mutex
	ended  map[*core.Attempt][]scatter.Outcome
	frames []string // what the node was sent, by the letter and the id
	node   net.Conn // the node's end, nil if there is none
	gate   *gate
	refuse bool
	conns  int
	peers  []net.Conn // the node's ends, in order
}

func (p *player) AttemptEnded(at *core.Attempt, o scatter.Outcome, _ []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended[at] = append(p.ended[at], o)
}

func (p *player) dial(context.Context, string) (net.Conn, error) {
	if p.refuse {
		return nil, errors.New("refused")
	}
	here, there := net.Pipe()
	p.gate = &gate{Conn: here, open: make(chan struct{}), broken: make(chan struct{})}
	close(p.gate.open)
	p.node = there
	p.peers = append(p.peers, there)
	p.conns++
	go func() {
		for {
			var n uint32
			if binary.Read(there, binary.LittleEndian, &n) != nil {
				return
			}
			frame := make([]byte, n)
			if _, err := io.ReadFull(there, frame); err != nil {
				return
			}
			id, _, _ := strings.Cut(string(frame), " ")
			p.mu.Lock()
			p.frames = append(p.frames, id)
			p.mu.Unlock()
		}
	}()
	return p.gate, nil
}

// send writes from the node's side, in pieces.
func (p *player) send(data []byte, size int) {
	node := p.node
	go func() {
		for len(data) > 0 {
			n, err := node.Write(data[:min(len(data), 1+size)])
			if err != nil {
				return
			}
			data = data[n:]
		}
	}()
	synctest.Wait()
}

// want is the state of one attempt in the model.
type want struct {
	at      *core.Attempt
	written bool
	begun   bool
	givenUp bool
	conn    int               // the connection it went on, by number
	outcome []scatter.Outcome // empty while it is out
}

// FuzzNodes plays calls, abandonings, answers, breaks, refused connections and a node that stops reading,
// in random order, and holds that each attempt ends once, as the protocol's table says.
func FuzzNodes(f *testing.F) {
	f.Add([]byte{0, 0, 2, 0, 0, 1, 3, 0})
	f.Add([]byte{0, 0, 7, 0, 0, 0, 1, 1, 4, 0})
	f.Add([]byte{7, 0, 0, 0, 0, 0, 1, 0, 7, 0, 2, 1})
	for kind := range byte(11) { // each kind of spoilt answer, alone, beside others, and with a write that waits
		f.Add([]byte{0, 0, 3, kind, 0, 1, 0, 2, 2, 0, 3, kind + 11, 0, 3, 0, 4, 7, 0, 0, 5, 3, kind + 22, 0, 6, 2, 0})
	}
	f.Add([]byte{0, 0, 2, 9, 0, 1, 0, 2, 2, 9, 0, 3, 0, 4, 2, 18, 5, 0, 2, 18, 5, 0})
	f.Fuzz(func(t *testing.T, steps []byte) {
		synctest.Test(t, func(t *testing.T) { play(t, steps[:min(len(steps), 80)]) })
	})
}

func play(t *testing.T, steps []byte) {
	p := &player{t: t, ended: map[*core.Attempt][]scatter.Outcome{}}
	p.nodes = &Caller{Reporter: p, CallsPerConn: 4, ConnectTimeout: time.Second, KeepAlive: 30 * time.Second, ResponseTimeout: time.Second / 10, Dial: p.dial}
	node := core.Endpoint{Replica: scatter.Replica{ID: "n"}, Address: "n"}
	var all []*want
	shut, blocked, fresh := false, false, true // blocked: a write waits; fresh: the next call needs a connection
	out := func() (list []*want) {
		for _, w := range all {
			if len(w.outcome) == 0 {
				list = append(list, w)
			}
		}
		return list
	}
	broken := func(never, may scatter.Outcome) { // all that is out ends
		for _, w := range out() {
			w.outcome = []scatter.Outcome{never}
			if w.written {
				w.outcome[0] = may
			}
		}
		shut, blocked, fresh = false, false, true
	}
	spoilt := func(guilty *want) { // by the answer to this part or, if that can't be told, to the only one
		var begun []*want
		for _, w := range out() {
			if w.begun {
				begun = append(begun, w)
			}
		}
		if guilty == nil && len(begun) == 1 {
			guilty = begun[0]
		}
		if guilty != nil {
			guilty.outcome = []scatter.Outcome{scatter.Errored}
		}
		broken(scatter.NotSent, scatter.Cancelled)
	}
	for i := 0; i+1 < len(steps); i += 2 {
		arg := int(steps[i+1])
		live := out()
		var w *want
		if len(live) > 0 {
			w = live[arg%len(live)]
		}
		switch steps[i] % 9 {
		case 0: // a call of one part
			if len(live) == 4 {
				continue // a second connection is TestCallsPerConnection's
			}
			w = &want{at: &core.Attempt{QueryID: fmt.Sprintf("q%d", len(all)), Shard: arg, Body: []byte("t"),
				Timeout: time.Second, ReplicaID: "n"}, written: !shut, begun: !blocked}
			all = append(all, w)
			if p.refuse && fresh {
				w.outcome = []scatter.Outcome{scatter.ConnectFailed}
			} else {
				fresh, blocked = false, shut
			}
			p.nodes.Call(node, []*core.Attempt{w.at})
			synctest.Wait()
			w.conn = p.conns
		case 1: // given up
			if w == nil {
				continue
			}
			p.nodes.Cancel(w.at)
			if w.givenUp { // the word waits: the connection is closed instead
				broken(scatter.NotSent, scatter.Cancelled)
				break
			}
			w.givenUp = true
			if blocked = shut; !shut {
				w.outcome = []scatter.Outcome{scatter.Cancelled}
			}
		case 2: // answered, whatever the report says, and perhaps with more than belongs to it
			if w == nil || !w.written {
				continue
			}
			o := []scatter.Outcome{scatter.Succeeded, scatter.Errored, scatter.Rejected}[arg%3]
			w.outcome = []scatter.Outcome{o}
			frame := appendFrame(nil, frameAnswer, fmt.Appendf(nil, "%s %c 7 %s\nvalue", partID(w.at), "SEB"[arg%3], []string{"-", "", "\xff = ,"}[arg/3%3]))
			behind := [][]byte{nil, {0, 0, 0, 0}, frame}[arg/9%3]
			if behind == nil {
				p.send(frame, arg%9)
				continue
			}
			p.send(slices.Concat(frame, behind), 1<<20)
			if len(out()) == 0 {
				broken(0, 0)
			} else if behind[0] == 0 {
				spoilt(nil)
			}
		case 3: // something that is no frame of this protocol, or none that answers what is out
			if fresh {
				continue
			}
			id := "x.1"
			if w != nil && w.begun {
				id = partID(w.at)
			} else {
				w = nil
			}
			size := arg / 11 % 3
			switch kind := arg % 11; kind {
			case 0:
				p.send([]byte{0, 0, 0, 0}, size)
			case 1:
				p.send([]byte{255, 255, 255, 255}, size)
			case 2:
				p.send(appendFrame(nil, frameAnswer, []byte("x")), size)
			case 3:
				p.send(appendFrame(nil, frameAnswer, []byte("x Q 0 -\n")), size)
			case 4:
				p.send(appendFrame(nil, 9, nil), size)
			case 5:
				p.send(appendFrame(nil, frameAnswer, []byte("nobody.1 S 0 -\nvalue")), size)
			case 6: // the node tells that it closes the connection
				p.send(appendFrame(nil, frameError, []byte("bad")), size)
				broken(scatter.ConnectFailed, scatter.ConnectionReset)
			case 7: // a value of 3 GB
				p.send(append([]byte{0, 94, 208, 178, '5'}, id+" S 7 -\nvvvv"...), 1<<20)
				spoilt(w)
			case 8: // one that never ends
				p.send(append([]byte{99, 0, 0, 0, '5'}, id+" S 7 -\nvvvv"...), size)
				time.Sleep(time.Second)
				synctest.Wait()
				spoilt(w)
			case 9:
				p.send(appendFrame(nil, frameAnswer, []byte(id+"  7 -\nvalue")), 1<<20)
				spoilt(w)
			case 10: // noise for a value
				p.send(appendFrame(nil, frameAnswer, []byte(id+" S 7 -\n\xfe\xff")), 1<<20)
				spoilt(w)
			}
			if !fresh {
				spoilt(nil)
			}
		case 4: // the connection ends, perhaps inside a frame
			if fresh {
				continue
			}
			p.send([]byte{9, 0, 0, 0, '5', 'x'}[:arg%7], 1)
			p.node.Close()
			broken(scatter.ConnectFailed, scatter.ConnectionReset)
		case 5: // a second copy of what was settled on this connection
			for _, w := range all {
				if len(w.outcome) > 0 && w.conn == p.conns && !fresh {
					p.send(appendFrame(nil, frameAnswer, []byte(partID(w.at)+" S 0 -\nother")), 1<<20)
					break
				}
			}
		case 6: // connections are refused from now on, or no longer
			p.refuse = !p.refuse
		case 7: // the node stops reading, or reads again
			if fresh {
				continue
			}
			if !shut {
				p.gate.open = make(chan struct{})
			} else {
				close(p.gate.open)
				for _, w := range out() {
					switch {
					case w.givenUp && w.begun:
						w.outcome = []scatter.Outcome{scatter.Cancelled}
					case w.givenUp:
						w.outcome = []scatter.Outcome{scatter.NotSent}
					default:
						w.written, w.begun = true, true
					}
				}
			}
			shut, blocked = !shut, false
		case 8: // a pause in which idle connections are no longer trusted
			if len(live) == 0 && !shut {
				time.Sleep(25 * time.Second)
				fresh = true
			}
		}
		synctest.Wait()
		for k, w := range all {
			if got := p.ended[w.at]; fmt.Sprint(got) != fmt.Sprint(w.outcome) {
				t.Fatalf("%v, step %d: attempt %d ended %v, want %v", steps, i/2, k, got, w.outcome)
			}
		}
	}
	p.nodes.Close()
	synctest.Wait()
	for k, w := range all {
		if len(p.ended[w.at]) != 1 {
			t.Errorf("attempt %d ended %v", k, p.ended[w.at])
		}
	}
	if p.node != nil {
		p.node.Close()
	}
}

// A connection carries only so many calls at once, and the frames are as the protocol words them.
func TestCallsPerConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &player{t: t, ended: map[*core.Attempt][]scatter.Outcome{}}
		p.nodes = &Caller{Reporter: p, CallsPerConn: 2, ConnectTimeout: time.Second, KeepAlive: 30 * time.Second, ResponseTimeout: time.Second / 10, Dial: p.dial}
		for i := range 5 {
			p.nodes.Call(core.Endpoint{Replica: scatter.Replica{ID: "n"}, Address: "n"},
				[]*core.Attempt{{QueryID: fmt.Sprint(i), ReplicaID: "n"}, {QueryID: fmt.Sprint(i), Shard: 1, ReplicaID: "n"}})
			synctest.Wait()
		}
		if p.conns != 3 || len(p.frames) != 5 {
			t.Errorf("%d connections and %d frames for 5 calls, want 3 and 5", p.conns, len(p.frames))
		}
		p.nodes.Close()
	})
	at := &core.Attempt{QueryID: "9b1f", Shard: 3, Timeout: 240 * time.Millisecond, Body: []byte("c41e77d0")}
	got := callFrame([]*sentAttempt{{attempt: at}})
	if want := append([]byte{26, 0, 0, 0, '1'}, "9b1f.3 3 d=240 8\nc41e77d0"...); !bytes.Equal(got, want) {
		t.Errorf("frame %q, want %q", got, want)
	}
}

// A connection falls silent without a word. New calls go on another one, a few such at most; when later calls have been
// answered there, what is out on the silent one is taken back. An attempt given up on it ends it, for the word
// might never be read while the part runs elsewhere; on one that was heard since, the word is sent.
func TestSilentConnections(t *testing.T) {
	const late = time.Second/10 + time.Millisecond
	for _, tc := range []struct {
		name string
		play func(p *player, call func(), answer func(i int), abandon func(i int))
		want string
	}{
		{"passed over, then closed on proof", func(p *player, call func(), answer, abandon func(int)) {
			call()
			time.Sleep(late)
			for i := 1; i <= answersToClose; i++ {
				call()
				p.node = p.peers[1]
				answer(i)
			}
		}, "2 connections, frames [1q0.0 1q1.0 1q2.0 1q3.0], ended [[6] [0] [0] [0]]"},
		{"no proof: what was answered was sent before the silence", func(p *player, call func(), answer, abandon func(int)) {
			call()
			time.Sleep(late)
			for range answersToClose {
				call()
			}
			p.node = p.peers[0]
			answer(0)
			call()
			time.Sleep(late)
			p.node = p.peers[1]
			for i := 1; i <= answersToClose; i++ {
				answer(i)
			}
		}, "2 connections, frames [1q0.0 1q1.0 1q2.0 1q3.0 1q4.0], ended [[0] [0] [0] [0] []]"},
		{"a node that is silent everywhere", func(p *player, call func(), answer, abandon func(int)) {
			for range maxSilentConns + 3 {
				call()
				time.Sleep(late)
			}
		}, "4 connections, frames [1q0.0 1q1.0 1q2.0 1q3.0 1q4.0 1q5.0 1q6.0], ended [[] [] [] [] [] [] []]"},
		{"given up in silence", func(p *player, call func(), answer, abandon func(int)) {
			call()
			call()
			time.Sleep(late)
			abandon(0)
			call()
		}, "2 connections, frames [1q0.0 1q1.0 1q2.0], ended [[6] [6] []]"},
		{"given up early, and after another answer", func(p *player, call func(), answer, abandon func(int)) {
			call()
			call()
			call()
			abandon(0)
			time.Sleep(late)
			answer(1)
			abandon(2)
			call()
		}, "1 connections, frames [1q0.0 1q1.0 1q2.0 2q0.0 2q2.0 1q3.0], ended [[6] [0] [6] []]"},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := &player{t: t, ended: map[*core.Attempt][]scatter.Outcome{}}
			p.nodes = &Caller{Reporter: p, CallsPerConn: 32, ConnectTimeout: time.Second, KeepAlive: 30 * time.Second, ResponseTimeout: time.Second / 10, Dial: p.dial}
			var all []*core.Attempt
			tc.play(p, func() {
				all = append(all, &core.Attempt{QueryID: fmt.Sprint("q", len(all)), ReplicaID: "n"})
				p.nodes.Call(core.Endpoint{Replica: scatter.Replica{ID: "n"}, Address: "n"}, all[len(all)-1:])
				synctest.Wait()
			}, func(i int) {
				p.send(appendFrame(nil, frameAnswer, fmt.Appendf(nil, "q%d.0 S 7 -\nv", i)), 99)
			}, func(i int) {
				p.nodes.Cancel(all[i])
				synctest.Wait()
			})
			var ended [][]scatter.Outcome
			for _, at := range all {
				ended = append(ended, p.ended[at])
			}
			if got := fmt.Sprintf("%d connections, frames %v, ended %v", p.conns, p.frames, ended); got != tc.want {
				t.Errorf("%s:\n got %s\nwant %s", tc.name, got, tc.want)
			}
			p.nodes.Close()
			synctest.Wait()
		})
	}
}

// There are only so many connections in all: an idle one makes way, and where none is idle calls wait at a node
// that has one already. What nobody uses any more closes by itself, so that nodes long gone leave nothing.
func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &player{t: t, ended: map[*core.Attempt][]scatter.Outcome{}}
		p.nodes = &Caller{Reporter: p, CallsPerConn: 1, MaxConns: 2, ConnectTimeout: time.Second, KeepAlive: 30 * time.Second, ResponseTimeout: time.Second / 10, Dial: p.dial}
		call := func(node string) {
			p.nodes.Call(core.Endpoint{Replica: scatter.Replica{ID: node}, Address: node},
				[]*core.Attempt{{QueryID: fmt.Sprint(p.conns, len(p.frames)), ReplicaID: node}})
			synctest.Wait()
		}
		held := func() (n int) {
			for _, list := range p.nodes.conns {
				n += len(list)
			}
			return n
		}
		call("a")
		p.send(appendFrame(nil, frameAnswer, []byte(p.frames[0][1:]+" S 0 -\nv")), 99)
		call("b")
		if call("b"); held() != 2 || p.conns != 3 || len(p.nodes.conns["a"]) != 0 {
			t.Errorf("%d connections of %d opened: the idle one did not make way", held(), p.conns)
		}
		if call("b"); held() != 2 || len(p.frames) != 4 {
			t.Errorf("%d connections and %d frames: a call of a busy node did not wait there", held(), len(p.frames))
		}
		if call("c"); held() != 3 {
			t.Errorf("%d connections: a node has none", held())
		}
		for _, id := range p.frames[4:] {
			p.send(appendFrame(nil, frameAnswer, []byte(id[1:]+" S 0 -\nv")), 99)
		}
		if time.Sleep(time.Minute); len(p.nodes.conns["c"]) != 0 || held() != 2 {
			t.Errorf("connections %v after a minute", p.nodes.conns)
		}
		p.nodes.Close()
		synctest.Wait()
		if len(p.nodes.conns) > 0 || len(p.nodes.attempts) > 0 {
			t.Errorf("%d nodes and %d sends remain", len(p.nodes.conns), len(p.nodes.attempts))
		}
	})
}

// An answer goes to the attempt of its part that is still wanted, not to an earlier one at the same node
// whose giving up waits to be written.
func TestAnswerOfARepeatedPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &player{t: t, ended: map[*core.Attempt][]scatter.Outcome{}}
		p.nodes = &Caller{Reporter: p, CallsPerConn: 4, ConnectTimeout: time.Second, KeepAlive: 30 * time.Second, ResponseTimeout: time.Second / 10, Dial: p.dial}
		first, second := &core.Attempt{QueryID: "q", ReplicaID: "n"}, &core.Attempt{QueryID: "q", ReplicaID: "n"}
		node := core.Endpoint{Replica: scatter.Replica{ID: "n"}, Address: "n"}
		p.nodes.Call(node, []*core.Attempt{first})
		p.nodes.Call(node, []*core.Attempt{second})
		synctest.Wait()
		p.gate.open = make(chan struct{})
		p.nodes.Cancel(first)
		synctest.Wait()
		p.send(appendFrame(nil, frameAnswer, []byte("q.0 S 1 -\nv")), 99)
		if len(p.ended[first]) != 0 || len(p.ended[second]) != 1 {
			t.Errorf("first ended %v, second %v", p.ended[first], p.ended[second])
		}
		p.nodes.Close()
		synctest.Wait()
		p.node.Close()
	})
}

// FuzzFrames holds that frames mean the same in any pieces.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{2, 0, 0, 0, '5', 'x', 1, 0, 0, 0, 'X'}, uint8(1))
	f.Add([]byte{0, 0, 0, 0}, uint8(2))
	f.Fuzz(func(t *testing.T, data []byte, size uint8) {
		read := func(size int) (out []string) {
			var b buffer.Buffer
			src := bytes.NewReader(data)
			for {
				letter, rest, ok, err := nextFrame(&b)
				if err != nil {
					return append(out, err.Error())
				}
				if ok {
					a, err := parseAnswer(rest)
					out = append(out, fmt.Sprint(letter, string(rest), a, err))
				} else if _, err := b.Fill(io.LimitReader(src, int64(size))); err != nil {
					return out
				}
			}
		}
		if whole, split := read(1<<20), read(1+int(size)); fmt.Sprint(whole) != fmt.Sprint(split) {
			t.Errorf("whole %q\nsplit %q", whole, split)
		}
	})
}

// A call that comes in the very moment in which half a line ends an idle connection goes on a new one, and is not
// told as one that the node refused. The moment is made, on real sockets: the reader's look whether anybody waits,
// and behind it the call, wait for the lock, which goes to those who wait in turn once one of them has waited in
// vain.
func TestCallAtTheEndOfAnIdleConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := &player{t: t, ended: map[*core.Attempt][]scatter.Outcome{}}
	p.nodes = &Caller{Reporter: p, CallsPerConn: 1, ConnectTimeout: time.Second, KeepAlive: time.Minute, ResponseTimeout: time.Minute}
	node := core.Endpoint{Replica: scatter.Replica{ID: "n"}, Address: l.Addr().String()}
	ended := func(at *core.Attempt) []scatter.Outcome {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.ended[at]
	}
	const soon = 20 * time.Millisecond // for a goroutine to come to wait
	first, second := &core.Attempt{QueryID: "first", ReplicaID: "n"}, &core.Attempt{QueryID: "second", ReplicaID: "n"}
	p.nodes.Call(node, []*core.Attempt{first})
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Read(make([]byte, 100))
	c.Write(appendFrame(nil, frameAnswer, []byte("first.0 S 0 -\nv")))
	for len(ended(first)) == 0 {
		time.Sleep(time.Millisecond)
	}
	mu := &p.nodes.mu
	regained := false // under the lock: the test has had it again behind the reader
	pass := func() {  // to the longest waiting, and from there on in turn
		mu.Unlock()
		mu.Lock()
		regained = true
		time.Sleep(soon)
		mu.Unlock()
	}
	mu.Lock()
	c.Write([]byte{99, 0, 0}) // the reader asks for its times, and then looks
	time.Sleep(soon)
	holds, free, called := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		mu.Lock()
		for !regained { // it came before the test, which would wait for it for good: the test's turn is first
			mu.Unlock()
			time.Sleep(time.Millisecond)
			mu.Lock()
		}
		close(holds)
		<-free
		pass()
	}()
	time.Sleep(soon)
	pass()
	<-holds
	time.Sleep(soon)
	go func() { p.nodes.Call(node, []*core.Attempt{second}); close(called) }()
	time.Sleep(soon)
	close(free)
	<-called
	time.Sleep(2 * soon)
	if got := ended(second); len(got) > 0 {
		t.Errorf("the call ended %v", got)
	}
	p.nodes.Close()
}
