package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/overload"
	"harepass/internal/decide/scatter"
	"harepass/internal/platform"
)

// control is a coordinator's whole path for its list: discovery's client, the owner, and the module, before a discovery that
// gives one answer to each call, on a loopback connection. The answering side's writes are counted with it.
type control struct {
	owner    *core.Coordinator
	listener net.Listener
	cancel   context.CancelFunc
	answers  chan []byte
	asked    chan struct{} // a token for each call that has come in
	turns    chan struct{} // a token for each turn of the owner
	listed   atomic.Int64  // lists given to the owner
	index    int64
	sent     int64 // bytes of answers, heads included
	heard    atomic.Int64
	no       int
}

const answerWait = 30 * time.Second // for the coordinator to have taken an answer, on however busy a machine

var errNoWord = errors.New("capacity: the coordinator has not taken an answer")

// newControl starts a coordinator and gives it its whole list.
func newControl(nodes int) (*control, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &control{listener: l, answers: make(chan []byte), asked: make(chan struct{}, 1), turns: make(chan struct{}, 1)}
	disc := platform.NewDiscovery(l.Addr().String(), platform.List{})
	c.owner, err = core.New(core.Config{Seed: 1, Clock: core.SystemClock(), Settings: settings(nodes), Subscribe: disc.Subscribe,
		PolledSource: platform.Source, Callers: map[string]core.Caller{platform.Scheme: nowhere{}}, Admitter: turnGate(c.turns)})
	if err != nil {
		return nil, errors.Join(err, l.Close())
	}
	disc.Listed = func(scope scatter.UpdateKind, nodes []core.Endpoint) {
		c.owner.UpdateEndpoints(platform.Source, scope, nodes)
		c.listed.Add(1)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	go c.serve()
	c.owner.UpdateEndpoints(platform.Source, scatter.CachedUpdate, nil) // its first turn subscribes
	go c.owner.Run()
	go disc.Run(ctx)
	if err := wait(c.asked); err != nil {
		return nil, errors.Join(err, c.end())
	}
	if err := c.whole(nodes); err != nil {
		return nil, errors.Join(err, c.end())
	}
	return c, wait(c.owner.Started()) // a long list is taken in several turns
}

// end stops the coordinator.
func (c *control) end() error {
	c.cancel()
	c.owner.Stop()
	return c.listener.Close()
}

// serve answers the calls of the one connection at a time that discovery's client has.
func (c *control) serve() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		c.answer(conn)
		conn.Close()
	}
}

func (c *control) answer(conn net.Conn) {
	r := bufio.NewReader(conn)
	for {
		for {
			line, err := r.ReadSlice('\n')
			if err != nil {
				return
			}
			c.heard.Add(int64(len(line)))
			if len(line) == len("\r\n") {
				break
			}
		}
		c.asked <- struct{}{}
		if _, err := conn.Write(<-c.answers); err != nil {
			return
		}
	}
}

// give answers the call that waits, and waits for the next one; heed tells that the owner has to have taken a turn too.
func (c *control) give(snapshot bool, list []wireEntry, heed bool) error {
	if len(list) > 0 {
		c.index++
	}
	body, err := json.Marshal(wireList{Index: c.index, Snapshot: snapshot, Endpoints: list})
	if err != nil {
		return err
	}
	return c.reply(body, heed)
}

// reply gives a body that has been made before.
func (c *control) reply(body []byte, heed bool) error {
	data := append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body)), body...)
	c.sent += int64(len(data))
	drain(c.turns)
	c.answers <- data
	if err := wait(c.asked); err != nil || !heed {
		return err
	}
	return wait(c.turns)
}

func (c *control) whole(nodes int) error { return c.give(true, entries(nodes), true) }

// changed is an answer with so many nodes that have restarted, made beforehand so that its making costs nothing later.
func (c *control) changed(nodes, count int) []wireEntry {
	list := make([]wireEntry, count)
	for i := range list {
		c.no++
		list[i] = entry(c.no%nodes, time.Duration(time.Now().UnixNano()))
	}
	return list
}

func wait(c <-chan struct{}) error {
	select {
	case <-c:
		return nil
	case <-time.After(answerWait):
		return errNoWord
	}
}

func drain(c <-chan struct{}) {
	select {
	case <-c:
	default:
	}
}

// turnGate admits all and puts a token for each turn of an owner.
type turnGate chan struct{}

// Admit implements core.Gate.
func (turnGate) Admit(overload.Arrival) (bool, time.Duration) { return true, 0 }

// Turn implements core.Gate.
func (g turnGate) ObserveTick(core.Tick) {
	select {
	case g <- struct{}{}:
	default:
	}
}

// Done implements core.Gate.
func (turnGate) QueryDone(int) {}

// nowhere is a caller that nobody calls.
type nowhere struct{}

// Call implements core.Caller.
func (nowhere) Call(core.Endpoint, []*core.Attempt) {}

// Abandon implements core.Caller.
func (nowhere) Cancel(*core.Attempt) {}

// Disconnect implements core.Caller.
func (nowhere) CloseIdleConnections(string) {}

// changePath is one changed entry, from the wire to the module.
func changePath(nodes int) (*subject, error) { return changesTogether(nodes)(1) }

// changesTogether is an answer with so many changed entries in a list of nodes.
func changesTogether(nodes int) func(count int) (*subject, error) {
	return func(count int) (*subject, error) {
		c, err := newControl(nodes)
		if err != nil {
			return nil, err
		}
		before := c.listed.Load()
		return &subject{unit: time.Microsecond, end: func() { c.end() },
			operate: func() error { return c.give(false, c.changed(nodes, count), true) },
			check:   func(operated int) error { return c.took(int(c.listed.Load()-before), operated) }}, nil
	}
}

// changesSingly is as many answers with one changed entry each.
func changesSingly(nodes int) func(count int) (*subject, error) {
	return func(count int) (*subject, error) {
		s, err := changesTogether(nodes)(1)
		if err != nil {
			return nil, err
		}
		one := s.operate
		s.check = nil
		s.operate = func() error {
			for range count {
				if err := one(); err != nil {
					return err
				}
			}
			return nil
		}
		return s, nil
	}
}

// took tells whether the owner was given as many lists as were sent.
func (c *control) took(lists, sent int) error {
	if lists != sent {
		return fmt.Errorf("capacity: %d answers, %d lists at the owner", sent, lists)
	}
	return nil
}

// listPath is the whole list, from the wire to the module of a coordinator that has just started.
func listPath(nodes int) (*subject, error) {
	return &subject{unit: time.Millisecond, operate: func() error {
		c, err := newControl(nodes)
		if err != nil {
			return err
		}
		return c.end()
	}}, nil
}

// renewal is a watch that brings nothing and is renewed.
func renewal(nodes int) (*subject, error) {
	c, err := newControl(nodes)
	if err != nil {
		return nil, err
	}
	return &subject{unit: time.Microsecond, end: func() { c.end() }, operate: func() error {
		return c.give(false, []wireEntry{}, false)
	}}, nil
}

// renewalBytes is what a renewal takes on the wire, both ways, without the heads of TCP.
func renewalBytes(nodes int) (*subject, error) {
	return &subject{figure: func() (float64, error) {
		c, err := newControl(nodes)
		if err != nil {
			return 0, err
		}
		before := c.sent + c.heard.Load()
		err = c.give(false, []wireEntry{}, false)
		return float64(c.sent + c.heard.Load() - before), errors.Join(err, c.end())
	}}, nil
}

// listBytes is the whole list's answer.
func listBytes(nodes int) (*subject, error) {
	return &subject{figure: func() (float64, error) {
		body, err := json.Marshal(wireList{Index: int64(nodes), Snapshot: true, Endpoints: entries(nodes)})
		return float64(len(body)) / 1e6, err
	}}, nil
}

// listMemory is the live heap of a coordinator with its list, over that without one.
func listMemory(nodes int) (*subject, error) {
	return &subject{figure: func() (float64, error) {
		before := settledMemory()
		c, err := newControl(nodes)
		if err != nil {
			return 0, err
		}
		after := settledMemory()
		runtime.KeepAlive(c)
		return after.heap.over(before.heap), c.end()
	}}, nil
}

const (
	settledFor  = 20 * time.Millisecond
	settledMost = 2 * time.Second
	leastMemory = 4 << 10 // what is less, or less than nothing, cannot be told from what the runtime itself does
)

// memory is live heap, and that together with stacks.
type memory struct{ heap, all bytes }

// bytes are some.
type bytes uint64

// over is by how many megabytes there are more than before.
func (b bytes) over(before bytes) (megabytes float64) {
	return max(float64(b)-float64(before), leastMemory) / 1e6
}

// settledMemory waits until goroutines that are about to end have done so, collects what they leave behind, and reads what is
// left.
func settledMemory() memory {
	began, since, count := time.Now(), time.Now(), runtime.NumGoroutine()
	for time.Since(since) < settledFor && time.Since(began) < settledMost {
		time.Sleep(settledFor / 10)
		if now := runtime.NumGoroutine(); now != count {
			count, since = now, time.Now()
		}
	}
	for range 2 { // the first one may be under way already
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return memory{heap: bytes(m.HeapAlloc), all: bytes(m.HeapAlloc + m.StackInuse)}
}
