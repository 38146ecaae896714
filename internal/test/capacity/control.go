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

// control is the control path of a coordinator without relays: the discovery client, the coordinator's loop and the
// decision module. A stand-in for discovery gives one answer to each call on a loopback connection. The stand-in runs
// in this process, so the CPU time of its writes counts too.
type control struct {
	owner     *core.Coordinator
	listener  net.Listener
	cancel    context.CancelFunc
	answers   chan []byte
	asked     chan struct{} // receives a token for each call to the stand-in
	turns     chan struct{} // receives a token for each tick of the coordinator
	listed    atomic.Int64  // endpoint updates given to the coordinator
	index     int64
	sent      int64 // bytes of answers, HTTP heads included
	bytesRead atomic.Int64
	no        int
}

const answerWait = 30 * time.Second // for one step of a measurement; long enough for a busy machine

var errWaitTimeout = errors.New("capacity: timed out waiting for the coordinator to process an answer")

// newControl starts a coordinator and sends it the full list.
func newControl(nodes int) (*control, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &control{listener: l, answers: make(chan []byte), asked: make(chan struct{}, 1), turns: make(chan struct{}, 1)}
	disc := platform.NewDiscovery(l.Addr().String(), platform.List{})
	c.owner, err = core.New(core.Config{Seed: 1, Clock: core.SystemClock(), Settings: settings(nodes), Subscribe: disc.Subscribe,
		PolledSource: platform.Source, Callers: map[string]core.Caller{platform.Scheme: noopCaller{}}, Admitter: tickAdmitter(c.turns)})
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
	c.owner.UpdateEndpoints(platform.Source, scatter.CachedUpdate, nil) // the first tick subscribes to discovery
	go c.owner.Run()
	go disc.Run(ctx)
	if err := wait(c.asked); err != nil {
		return nil, errors.Join(err, c.end())
	}
	if err := c.whole(nodes); err != nil {
		return nil, errors.Join(err, c.end())
	}
	return c, wait(c.owner.Started()) // a long list takes several ticks
}

// end stops the coordinator and the stand-in for discovery.
func (c *control) end() error {
	c.cancel()
	c.owner.Stop()
	return c.listener.Close()
}

// serve answers calls, one connection at a time: the discovery client opens no more at once.
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
			c.bytesRead.Add(int64(len(line)))
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

// sendList answers the pending call with a list and waits for the next call. With awaitTick it also waits until the
// coordinator has completed a tick.
func (c *control) sendList(snapshot bool, list []wireEntry, awaitTick bool) error {
	if len(list) > 0 {
		c.index++
	}
	body, err := json.Marshal(wireList{Index: c.index, Snapshot: snapshot, Endpoints: list})
	if err != nil {
		return err
	}
	return c.sendBody(body, awaitTick)
}

// sendBody does the same with a body that is already encoded.
func (c *control) sendBody(body []byte, awaitTick bool) error {
	data := append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body)), body...)
	c.sent += int64(len(data))
	drain(c.turns)
	c.answers <- data
	if err := wait(c.asked); err != nil || !awaitTick {
		return err
	}
	return wait(c.turns)
}

func (c *control) whole(nodes int) error { return c.sendList(true, entries(nodes), true) }

// changed returns entries for count nodes that have restarted. Operations call it, so its CPU time is measured too.
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
		return errWaitTimeout
	}
}

func drain(c <-chan struct{}) {
	select {
	case <-c:
	default:
	}
}

// tickAdmitter admits every query and receives a token for each tick of a coordinator.
type tickAdmitter chan struct{}

// Admit implements core.Admitter.
func (tickAdmitter) Admit(overload.Arrival) (bool, time.Duration) { return true, 0 }

// ObserveTick implements core.Admitter.
func (g tickAdmitter) ObserveTick(core.Tick) {
	select {
	case g <- struct{}{}:
	default:
	}
}

// QueryDone implements core.Admitter.
func (tickAdmitter) QueryDone(int) {}

// noopCaller is a core.Caller that does nothing; these measurements send no queries.
type noopCaller struct{}

// Call implements core.Caller.
func (noopCaller) Call(core.Endpoint, []*core.Attempt) {}

// Cancel implements core.Caller.
func (noopCaller) Cancel(*core.Attempt) {}

// CloseIdleConnections implements core.Caller.
func (noopCaller) CloseIdleConnections(string) {}

// changePath measures one changed entry, from the wire to the decision module.
func changePath(nodes int) (*subject, error) { return changesTogether(nodes)(1) }

// changesTogether measures one answer with count changed entries, for a list of the given length.
func changesTogether(nodes int) func(count int) (*subject, error) {
	return func(count int) (*subject, error) {
		c, err := newControl(nodes)
		if err != nil {
			return nil, err
		}
		before := c.listed.Load()
		return &subject{unit: time.Microsecond, end: func() { c.end() },
			operate: func() error { return c.sendList(false, c.changed(nodes, count), true) },
			check:   func(operated int) error { return c.checkListCount(int(c.listed.Load()-before), operated) }}, nil
	}
}

// changesSingly measures count answers with one changed entry each.
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

// checkListCount returns an error unless the coordinator received as many lists as were sent.
func (c *control) checkListCount(lists, sent int) error {
	if lists != sent {
		return fmt.Errorf("capacity: sent %d answers, coordinator received %d lists", sent, lists)
	}
	return nil
}

// listPath measures the full list at a start, from the wire to the decision module.
func listPath(nodes int) (*subject, error) {
	return &subject{unit: time.Millisecond, operate: func() error {
		c, err := newControl(nodes)
		if err != nil {
			return err
		}
		return c.end()
	}}, nil
}

// renewal measures a watch that ends without changes and is renewed.
func renewal(nodes int) (*subject, error) {
	c, err := newControl(nodes)
	if err != nil {
		return nil, err
	}
	return &subject{unit: time.Microsecond, end: func() { c.end() }, operate: func() error {
		return c.sendList(false, []wireEntry{}, false)
	}}, nil
}

// renewalBytes measures the bytes of a renewal on the wire, both ways, without TCP headers.
func renewalBytes(nodes int) (*subject, error) {
	return &subject{figure: func() (float64, error) {
		c, err := newControl(nodes)
		if err != nil {
			return 0, err
		}
		before := c.sent + c.bytesRead.Load()
		err = c.sendList(false, []wireEntry{}, false)
		return float64(c.sent + c.bytesRead.Load() - before), errors.Join(err, c.end())
	}}, nil
}

// listBytes measures the size of an answer with the full list, in megabytes.
func listBytes(nodes int) (*subject, error) {
	return &subject{figure: func() (float64, error) {
		body, err := json.Marshal(wireList{Index: int64(nodes), Snapshot: true, Endpoints: entries(nodes)})
		return float64(len(body)) / 1e6, err
	}}, nil
}

// listMemory measures the live heap that a coordinator with its list adds to the process.
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
	quietPeriod   = 20 * time.Millisecond
	maxSettleTime = 2 * time.Second
	minMemory     = 4 << 10 // a smaller or negative difference may come from the runtime itself
)

// memory holds the live heap, and the sum of live heap and stacks.
type memory struct{ heap, all bytes }

// bytes is a size in bytes.
type bytes uint64

// over returns the increase since before, in megabytes, but at least minMemory.
func (b bytes) over(before bytes) (megabytes float64) {
	return max(float64(b)-float64(before), minMemory) / 1e6
}

// settledMemory waits until the number of goroutines is stable, so that those about to end are gone, collects garbage,
// and reads the memory in use.
func settledMemory() memory {
	began, since, count := time.Now(), time.Now(), runtime.NumGoroutine()
	for time.Since(since) < quietPeriod && time.Since(began) < maxSettleTime {
		time.Sleep(quietPeriod / 10)
		if now := runtime.NumGoroutine(); now != count {
			count, since = now, time.Now()
		}
	}
	for range 2 { // a first call may only finish a collection that is already running
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return memory{heap: bytes(m.HeapAlloc), all: bytes(m.HeapAlloc + m.StackInuse)}
}
