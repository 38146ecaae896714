package opensearch_test

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/opensearch"
	"harepass/internal/platform"
	"harepass/internal/test/fake"
)

// slow holds up connections to nodes on real sockets until each is let through.
type slow struct {
	mu   sync.Mutex
	held map[string]chan struct{} // by address
	came chan string              // addresses, as dials come
}

func (s *slow) dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	s.mu.Lock()
	hold := s.held[address]
	s.mu.Unlock()
	if s.came <- address; hold != nil {
		<-hold
	}
	return c, err
}

// What was decided and waits for its connection does not go out once its node was announced as leaving, its client has left,
// its time is over or the window for repeating it is closed; a part that its node may not have goes to another at once. On
// both kinds of nodes.
func TestHeldUpAttemptsDoNotBegin(t *testing.T) {
	type play struct {
		*testing.T
		owner *core.Coordinator
		nodes []core.Endpoint
		first int // the node whose connection is held up
		gone  chan struct{}
		done  chan core.Answer
	}
	for name, tc := range map[string]struct {
		class  string
		reply  fake.Reply // of a node whose connection comes up
		happen func(p *play)
		served bool // elsewhere
	}{
		"nothing happens": {class: "free", happen: func(*play) {}, served: true},
		"the node leaves": {class: "free", served: true, happen: func(p *play) {
			n := p.nodes[p.first]
			n.State = scatter.Draining
			p.owner.UpdateEndpoints("test", scatter.IncrementalUpdate, []core.Endpoint{n})
			if a := <-p.done; a.Status != core.Served {
				p.Errorf("the answer is %+v", a)
			}
		}},
		"a report's node leaves": {class: "once", served: true, happen: func(p *play) {
			n := p.nodes[p.first]
			n.State = scatter.Removed
			p.owner.UpdateEndpoints("test", scatter.IncrementalUpdate, []core.Endpoint{n})
			if a := <-p.done; a.Status != core.Served {
				p.Errorf("the answer is %+v", a)
			}
		}},
		"the client leaves": {class: "free", happen: func(p *play) {
			close(p.gone)
			<-p.done
		}},
		"the time is over": {class: "short", happen: func(p *play) { <-p.done }},
	} {
		for _, scheme := range []string{platform.Scheme, opensearch.Scheme} {
			t.Run(name+", "+scheme, func(t *testing.T) {
				t.Parallel()
				s := settings()
				s.RingSize, s.ReplicationFactor = 1, 1
				s.Classes = []scatter.Class{
					{Name: "free", LatencyObjective: 5 * time.Second, Deadline: 9 * time.Second, PriorityWeight: 1, CompleteFraction: 1, MinFraction: 1},
					{Name: "once", LatencyObjective: 5 * time.Second, Deadline: 9 * time.Second, PriorityWeight: 1, CompleteFraction: 1, MinFraction: 1, Idempotency: scatter.NonIdempotent},
					{Name: "short", LatencyObjective: 100 * ms, Deadline: 200 * ms, PriorityWeight: 1, CompleteFraction: 1, MinFraction: 1},
				}
				c := &opensearch.Config{Listen: "front", SectionField: "section", All: "a", Indices: map[string]*opensearch.Index{
					"a": {Class: "free"}, "b": {Class: "short"}, "c": {Class: "once", Reports: true}}}
				if err := c.Check(s, shards); err != nil {
					t.Fatal(err)
				}
				sl := &slow{held: map[string]chan struct{}{}, came: make(chan string, 100)}
				frames := &platform.Caller{CallsPerConn: 32, ConnectTimeout: 20 * time.Second, ResponseTimeout: time.Second, KeepAlive: 30 * time.Second, Dial: sl.dial}
				api := &opensearch.Caller{Config: c, ConnectTimeout: 20 * time.Second, KeepAlive: 30 * time.Second, Dial: sl.dial}
				p := &play{T: t, gone: make(chan struct{}), done: make(chan core.Answer, 1)}
				clock := core.SystemClock()
				var err error
				p.owner, err = core.New(core.Config{Seed: 1, Settings: s, Clock: clock, Callers: map[string]core.Caller{platform.Scheme: frames,
					opensearch.Scheme: api}, Subscribe: func() {}, PolledSource: "test"})
				if err != nil {
					t.Fatal(err)
				}
				frames.Reporter, api.Reporter = p.owner, p.owner
				var fleets []*fake.Fleet
				let := make(chan struct{})
				for i := range 2 {
					l, err := net.Listen("tcp", "127.0.0.1:0")
					if err != nil {
						t.Fatal(err)
					}
					defer l.Close()
					f := &fake.Fleet{}
					if fleets = append(fleets, f); scheme == platform.Scheme {
						go f.Frames(l)
					} else {
						go f.API(l)
					}
					sl.held[l.Addr().String()] = let // whichever is drawn first; the other one is let through below
					p.nodes = append(p.nodes, core.Endpoint{Replica: scatter.Replica{ID: string(rune('a' + i))}, Address: l.Addr().String(), Scheme: scheme})
				}
				go p.owner.Run()
				p.owner.UpdateEndpoints("test", scatter.FullUpdate, p.nodes)
				go func() {
					p.done <- p.owner.Execute(&core.Query{ID: "q", Class: tc.class, Deadline: clock() + 9*time.Second, Body: []byte("t"),
						Parts: []core.Part{{Shard: 0, Weight: 1}}}, p.gone)
				}()
				address := <-sl.came
				p.first = slices.IndexFunc(p.nodes, func(n core.Endpoint) bool { return n.Address == address })
				sl.mu.Lock()
				delete(sl.held, p.nodes[1-p.first].Address)
				sl.mu.Unlock()
				tc.happen(p)
				close(let)
				if name == "nothing happens" {
					if a := <-p.done; a.Status != core.Served {
						t.Errorf("the answer is %+v", a)
					}
				}
				p.owner.Stop()
				time.Sleep(100 * ms) // for what would still go out
				here, there := fleets[p.first].Seen(), fleets[1-p.first].Seen()
				if want := name == "nothing happens"; (len(here) > 0) != want {
					t.Errorf("the node whose connection was held up got %q", strings.Join(here, "; "))
				}
				if elsewhere := tc.served && name != "nothing happens"; (len(there) > 0) != elsewhere {
					t.Errorf("the other node got %q", strings.Join(there, "; "))
				}
				frames.Close()
				api.Close()
			})
		}
	}
}
