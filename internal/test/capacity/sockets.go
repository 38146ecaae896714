package capacity

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/overload"
	"harepass/internal/decide/scatter"
	"harepass/internal/http1"
	"harepass/internal/platform"
)

// coordinator is the data path of one: the platform's front, the owner and its connections to nodes. Queries come without a
// client's connection.
type coordinator struct {
	front  *platform.Front
	owner  *core.Coordinator
	caller *platform.Caller
	nodes  func()
	number int
}

func newCoordinator(nodes int, helpers Helpers, gate core.Admitter) (*coordinator, error) {
	helper, address, err := startHelper(helpers, helpNodes)
	if err != nil {
		return nil, err
	}
	clock := core.SystemClock()
	caller := &platform.Caller{CallsPerConn: 32, ConnectTimeout: time.Second, ResponseTimeout: time.Second, KeepAlive: time.Minute}
	set := settings(nodes)
	set.Classes[0].LatencyObjective = time.Second // no query is refused for a busy machine's sake
	set.Classes[0].Deadline = 10 * time.Second
	owner, err := core.New(core.Config{Seed: 1, Clock: clock, Settings: set, Subscribe: func() {}, PolledSource: platform.Source, Admitter: gate,
		Callers: map[string]core.Caller{platform.Scheme: caller}})
	if err != nil {
		helper.close()
		return nil, err
	}
	caller.Reporter = owner
	go owner.Run()
	owner.UpdateEndpoints(platform.Source, scatter.FullUpdate, coreNodes(nodes, address))
	<-owner.Started()
	return &coordinator{front: &platform.Front{Coordinator: owner, Clock: clock}, owner: owner, caller: caller, nodes: helper.close}, nil
}

func (c *coordinator) end() {
	c.owner.Stop()
	c.caller.Close()
	c.nodes()
}

// body is a query over so many sections.
func body(parts int) []byte {
	type slice struct {
		Slice int     `json:"slice"`
		Mass  float64 `json:"mass"`
	}
	q := struct {
		Slices []slice `json:"slices"`
		Filter string  `json:"filter"`
	}{Filter: "c41e77d0"}
	for i := range parts {
		q.Slices = append(q.Slices, slice{i, 1 / float64(parts)})
	}
	data, err := json.Marshal(q)
	if err != nil {
		panic(err) // numbers and a string
	}
	return data
}

// ask has a query answered, and returns its status.
func (c *coordinator) ask(body []byte) int {
	c.number++
	req := &http1.Message{Method: "POST", Target: "/api", Body: body, Header: textproto.MIMEHeader{"X-Call-Id": {"q" + strconv.Itoa(c.number)},
		"X-Call-Class": {"search"}, "X-Budget": {"10000m"}}}
	return c.front.Handle(req, nil).Status
}

// queryByParts is a query through the front and the nodes' connections, one after the other.
func queryByParts(nodes int, helpers Helpers) func(parts int) (*subject, error) {
	return func(parts int) (*subject, error) { return socketQuery(nodes, parts, helpers) }
}

// socketQueryByNodes is one of QueryParts parts while the list has so many nodes.
func socketQueryByNodes(helpers Helpers) func(nodes int) (*subject, error) {
	return func(nodes int) (*subject, error) { return socketQuery(nodes, QueryParts, helpers) }
}

func socketQuery(nodes, parts int, helpers Helpers) (*subject, error) {
	c, err := newCoordinator(nodes, helpers, nil)
	if err != nil {
		return nil, err
	}
	text := body(parts)
	s := &subject{unit: time.Microsecond, end: c.end, operate: func() error {
		if status := c.ask(text); status != 200 {
			return fmt.Errorf("capacity: a query was answered with %d", status)
		}
		return nil
	}}
	for range 4 { // opens connections
		if err := s.operate(); err != nil {
			c.end()
			return nil, err
		}
	}
	return s, nil
}

// refuser is a gate that lets nobody in.
type refuser struct{ turnGate }

// Admit implements core.Gate.
func (refuser) Admit(overload.Arrival) (bool, time.Duration) { return false, time.Second }

// refusalByParts is a query of so many parts that is refused.
func refusalByParts(parts int) (*subject, error) {
	c, err := newCoordinator(1, HelpHere, refuser{})
	if err != nil {
		return nil, err
	}
	text := body(parts)
	return &subject{unit: time.Microsecond, end: c.end, operate: func() error {
		if status := c.ask(text); status != 429 {
			return fmt.Errorf("capacity: a query that was to be refused was answered with %d", status)
		}
		return nil
	}}, nil
}

// connections are some to nodes, one to each, all idle.
type connections struct {
	nodes   *platform.Caller
	address string // of the nodes
	end     func()
	ended   atomic.Int64
	done    chan struct{}
	most    int64
}

// Ended implements core.Reporter.
func (c *connections) AttemptEnded(_ *core.Attempt, outcome scatter.Outcome, _ []byte) {
	if outcome == scatter.Succeeded && c.ended.Add(1) == c.most {
		close(c.done)
	}
}

var errNoConnections = errors.New("capacity: not all connections came up")

// openConnections opens so many by sending a part on each.
func openConnections(count int, helpers Helpers) (*connections, error) {
	helper, address, err := startHelper(helpers, helpNodes)
	if err != nil {
		return nil, err
	}
	c := &connections{address: address, end: helper.close, done: make(chan struct{}), most: int64(count),
		nodes: &platform.Caller{CallsPerConn: 32, ConnectTimeout: answerWait, ResponseTimeout: answerWait, KeepAlive: time.Hour}}
	c.nodes.Reporter = c
	for i, node := range coreNodes(count, address) {
		c.nodes.Call(node, []*core.Attempt{{QueryID: "q" + strconv.Itoa(i), Shard: i, ReplicaID: node.ID, Body: []byte("c41e77d0"), Timeout: answerWait}})
	}
	if wait(c.done) != nil || c.nodes.OpenConns() != count {
		c.close()
		return nil, errNoConnections
	}
	return c, nil
}

func (c *connections) close() {
	c.nodes.Close()
	c.end()
}

// connectionMemory is live heap and stacks for so many connections.
func connectionMemory(helpers Helpers) func(count int) (*subject, error) {
	return func(count int) (*subject, error) {
		return &subject{figure: func() (float64, error) {
			before := settledMemory()
			c, err := openConnections(count, helpers)
			if err != nil {
				return 0, err
			}
			defer c.close()
			return settledMemory().all.over(before.all), nil
		}}, nil
	}
}

// connectionDescriptors is how many descriptors so many connections take.
func connectionDescriptors(helpers Helpers) func(count int) (*subject, error) {
	return func(count int) (*subject, error) {
		return &subject{figure: func() (float64, error) {
			c, err := openConnections(count, helpers)
			if err != nil {
				return 0, err
			}
			defer c.close()
			return descriptorsTo(c.address)
		}}, nil
	}
}

// descriptorsTo counts this process's sockets that are connected to an address.
func descriptorsTo(address string) (float64, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0, err
	}
	table, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		return 0, err
	}
	ip := to.Addr().As4()
	remote := fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(ip[:]), to.Port())
	sockets := map[string]bool{}
	for line := range strings.Lines(string(table)) {
		if f := strings.Fields(line); len(f) > socketInode && f[socketRemote] == remote {
			sockets["socket:["+f[socketInode]+"]"] = true
		}
	}
	open, err := os.ReadDir("/proc/self/fd")
	count := 0.0
	for _, entry := range open {
		if target, err := os.Readlink("/proc/self/fd/" + entry.Name()); err == nil && sockets[target] {
			count++
		}
	}
	return count, err
}

// Fields of a line of /proc/net/tcp.
const (
	socketRemote = 2
	socketInode  = 9
)
