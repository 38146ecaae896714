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

// coordinator is the data path of a coordinator: the platform's front, the coordinator's loop and its connections to
// nodes. Queries are passed to the front directly, without a client connection.
type coordinator struct {
	front  *platform.Front
	owner  *core.Coordinator
	caller *platform.Caller
	nodes  func()
	number int
}

func newCoordinator(nodes int, helpers Helpers, admitter core.Admitter) (*coordinator, error) {
	helper, address, err := startHelper(helpers, helpNodes)
	if err != nil {
		return nil, err
	}
	clock := core.SystemClock()
	caller := &platform.Caller{CallsPerConn: 32, ConnectTimeout: time.Second, ResponseTimeout: time.Second, KeepAlive: time.Minute}
	set := settings(nodes)
	set.Classes[0].LatencyObjective = time.Second // so that a busy machine does not cause rejections
	set.Classes[0].Deadline = 10 * time.Second
	owner, err := core.New(core.Config{Seed: 1, Clock: clock, Settings: set, Subscribe: func() {}, PolledSource: platform.Source, Admitter: admitter,
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

// body returns the body of a query with the given number of parts, each for its own section.
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
		panic(err) // cannot fail: only numbers and strings
	}
	return data
}

// ask sends a query, waits for its answer and returns the status.
func (c *coordinator) ask(body []byte) int {
	c.number++
	req := &http1.Message{Method: "POST", Target: "/api", Body: body, Header: textproto.MIMEHeader{"X-Call-Id": {"q" + strconv.Itoa(c.number)},
		"X-Call-Class": {"search"}, "X-Budget": {"10000m"}}}
	return c.front.Handle(req, nil).Status
}

// queryByParts measures a query through the front and the nodes' connections, with one query open at a time.
func queryByParts(nodes int, helpers Helpers) func(parts int) (*subject, error) {
	return func(parts int) (*subject, error) { return socketQuery(nodes, parts, helpers) }
}

// socketQueryByNodes measures such a query of QueryParts parts by the number of nodes in the list.
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
			return fmt.Errorf("capacity: query returned status %d, want 200", status)
		}
		return nil
	}}
	for range 4 { // opens the connections before the measurement
		if err := s.operate(); err != nil {
			c.end()
			return nil, err
		}
	}
	return s, nil
}

// rejectingAdmitter rejects every query.
type rejectingAdmitter struct{ tickAdmitter }

// Admit implements core.Admitter.
func (rejectingAdmitter) Admit(overload.Arrival) (bool, time.Duration) { return false, time.Second }

// refusalByParts measures a query of the given number of parts that the admitter rejects.
func refusalByParts(parts int) (*subject, error) {
	c, err := newCoordinator(1, HelpInThisProcess, rejectingAdmitter{})
	if err != nil {
		return nil, err
	}
	text := body(parts)
	return &subject{unit: time.Microsecond, end: c.end, operate: func() error {
		if status := c.ask(text); status != 429 {
			return fmt.Errorf("capacity: query returned status %d, want 429", status)
		}
		return nil
	}}, nil
}

// connections holds idle connections to nodes, one to each.
type connections struct {
	nodes   *platform.Caller
	address string // of all nodes
	end     func()
	ended   atomic.Int64
	done    chan struct{}
	most    int64
}

// AttemptEnded implements core.AttemptReporter.
func (c *connections) AttemptEnded(_ *core.Attempt, outcome scatter.Outcome, _ []byte) {
	if outcome == scatter.Succeeded && c.ended.Add(1) == c.most {
		close(c.done)
	}
}

var errNoConnections = errors.New("capacity: not all connections to nodes were opened")

// openConnections opens count connections by sending a part on each.
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

// connectionMemory measures live heap and stacks of the given number of connections.
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

// connectionDescriptors measures how many file descriptors the given number of connections take.
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

// descriptorsTo returns how many file descriptors of this process are sockets connected to an address.
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
