package opensearch_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/http1"
	"harepass/internal/opensearch"
	"harepass/internal/platform"
	"harepass/internal/test/fake"
)

const (
	ms       = time.Millisecond
	ringSize = 3 // also the number of replicas; each holds all shards
	shards   = 10
)

// settings has an idempotent class, a non-idempotent one, and one whose answers may lack shards.
func settings() scatter.Settings {
	return scatter.Settings{
		Coordinators:      1,
		RingSize:          ringSize,
		ReplicationFactor: ringSize,
		PartsPerCall:      1,
		TickInterval:      5 * ms,
		MaxAttempts:       4,
		Cancellation:      true,
		RetryAfter:        time.Second,
		Classes: []scatter.Class{
			{Name: "route-lookup", LatencyObjective: 1500 * ms, Deadline: 3000 * ms, PriorityWeight: 1,
				LateWeight: 0.3, CompleteFraction: 1, MinFraction: 1},
			{Name: "hazard-report", LatencyObjective: 1500 * ms, Deadline: 5000 * ms, PriorityWeight: 2,
				LateWeight: 0.1, CompleteFraction: 1, MinFraction: 1, Idempotency: scatter.NonIdempotent},
			{Name: "conditions-summary", LatencyObjective: 1500 * ms, Deadline: 5000 * ms, PriorityWeight: 3,
				LateWeight: 0.3, CompleteFraction: 1, MinFraction: 0.7},
		},
	}
}

// checkedConfig returns a configuration with the given indices, which Check has accepted.
func checkedConfig(
	t *testing.T, s scatter.Settings, all string, indices map[string]*opensearch.Index) *opensearch.Config {
	t.Helper()
	c := &opensearch.Config{Listen: "front", SectionField: "section", DefaultIndex: all, Indices: indices}
	if err := c.Check(s, shards); err != nil {
		t.Fatal(err)
	}
	return c
}

// callers has a Caller for each kind of replica.
type callers struct {
	frames *platform.Caller
	api    *opensearch.Caller
}

func newCallers(c *opensearch.Config, connect, response time.Duration, dial http1.Dialer) callers {
	const keepAlive = 30 * time.Second
	return callers{
		frames: &platform.Caller{CallsPerConn: 32, ConnectTimeout: connect, ResponseTimeout: response,
			KeepAlive: keepAlive, Dial: dial},
		api: &opensearch.Caller{Config: c, ConnectTimeout: connect, KeepAlive: keepAlive, Dial: dial},
	}
}

// newCoordinator returns a coordinator that uses the callers; the test has to call its Run.
func (c callers) newCoordinator(
	t *testing.T, s scatter.Settings, limits core.Limits, clock core.Clock) *core.Coordinator {
	t.Helper()
	coordinator, err := core.New(core.Config{
		Seed:         1,
		Settings:     s,
		Limits:       limits,
		Clock:        clock,
		Callers:      map[string]core.Caller{platform.Scheme: c.frames, opensearch.Scheme: c.api},
		Subscribe:    func() {},
		PolledSource: "test",
	})
	if err != nil {
		t.Fatal(err)
	}
	c.frames.Reporter, c.api.Reporter = coordinator, coordinator
	return coordinator
}

func (c callers) close() {
	c.frames.Close()
	c.api.Close()
}

// serveReplica serves a replica of the fleet in the scheme's protocol.
func serveReplica(fleet *fake.Replicas, scheme string, l net.Listener) {
	if scheme == platform.Scheme {
		fleet.ServeFrames(l)
	} else {
		fleet.ServeAPI(l)
	}
}

// frontFixture is a coordinator with one front and replicas that speak the front's protocol, on the test's own clock
// and network.
type frontFixture struct {
	t           *testing.T
	net         fake.Network
	fleet       *fake.Replicas
	coordinator *core.Coordinator
	config      *opensearch.Config
	client      *http.Client
	closers     []func() // called in reverse order
}

// newFrontFixture starts the front of a scheme and its replicas. The first replicas, as many as unreachable says,
// refuse connections.
func newFrontFixture(
	t *testing.T, scheme string, script func(shard, try int) fake.Reply, unreachable int) *frontFixture {
	fx := &frontFixture{t: t, net: fake.Network{HalfClose: true}, fleet: &fake.Replicas{Script: script}}
	clock := core.SystemClock()
	fx.config = checkedConfig(t, settings(), "conditions", map[string]*opensearch.Index{
		"trails": {Class: "route-lookup"}, "conditions": {Class: "conditions-summary"},
		"hazards": {Class: "hazard-report", TakesDocuments: true}})
	calls := newCallers(fx.config, 250*ms, 300*ms, fx.net.Dial)
	fx.coordinator = calls.newCoordinator(t, settings(), core.Limits{MaxOpen: 200}, clock)
	go fx.coordinator.Run()
	fx.startReplicas(scheme, unreachable)
	server := &http1.Server{Handler: (&platform.Front{Coordinator: fx.coordinator, Clock: clock}).Handle,
		Limits: http1.DefaultLimits}
	if scheme == opensearch.Scheme {
		front := &opensearch.Front{Config: fx.config, Coordinator: fx.coordinator, Clock: clock}
		server.Handler, server.ErrorAnswer = front.Handle, opensearch.ErrorResponse
	}
	l := fx.net.Listen("front")
	go server.Serve(l)
	transport := &http.Transport{}
	transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
		return fx.net.Dial(ctx, "front")
	}
	fx.client = &http.Client{Transport: transport}
	fx.closers = append(fx.closers, func() {
		transport.CloseIdleConnections()
		l.Close()
		server.Shutdown()
		fx.coordinator.Stop()
		calls.close()
	})
	synctest.Wait()
	return fx
}

// startReplicas serves all replicas except the first unreachable ones, and gives the coordinator the list of all.
func (fx *frontFixture) startReplicas(scheme string, unreachable int) {
	var endpoints []core.Endpoint
	for i := range ringSize {
		address := "node" + strconv.Itoa(i)
		replica := scatter.Replica{ID: address, RingPosition: i}
		endpoints = append(endpoints, core.Endpoint{Replica: replica, Address: address, Scheme: scheme})
		if i < unreachable {
			continue
		}
		l := fx.net.Listen(address)
		fx.closers = append(fx.closers, func() { l.Close() })
		go serveReplica(fx.fleet, scheme, l)
	}
	fx.coordinator.UpdateEndpoints("test", scatter.FullUpdate, endpoints)
}

// setWeight sets the weight of one shard of an index; its other shards have weight 1.
func (fx *frontFixture) setWeight(index string, shard int, weight float64) {
	fx.config.Indices[index].Weights = map[int]float64{shard: weight}
}

func (fx *frontFixture) close() {
	for _, f := range slices.Backward(fx.closers) {
		f()
	}
	synctest.Wait()
}

// do sends a request to the front and reads its answer.
func (fx *frontFixture) do(method, path, body string, header map[string]string) (
	status int, h http.Header, answer []byte) {
	fx.t.Helper()
	req, err := http.NewRequest(method, "http://front"+path, strings.NewReader(body))
	if err != nil {
		fx.t.Fatal(err)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := fx.client.Do(req)
	if err != nil {
		fx.t.Fatal(err)
	}
	defer res.Body.Close()
	if answer, err = io.ReadAll(res.Body); err != nil {
		fx.t.Fatal(err)
	}
	return res.StatusCode, res.Header, answer
}

// withAPIFront runs a test with the API's front and replicas that offer the API.
func withAPIFront(t *testing.T, script func(shard, try int) fake.Reply, run func(fx *frontFixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fx := newFrontFixture(t, opensearch.Scheme, script, 0)
		run(fx)
		fx.close()
	})
}

// searchAnswer is the body of an answer to a search.
type searchAnswer struct {
	Took     int  `json:"took"`
	TimedOut bool `json:"timed_out"`
	Shards   struct {
		Total, Successful, Skipped, Failed int
		Failures                           []json.RawMessage
	} `json:"_shards"`
	Hits struct {
		Total struct{ Value int }
		Hits  []struct {
			ID     string `json:"_id"`
			Source struct {
				Section int
				Body    string
			} `json:"_source"`
		}
	}
}

func allShards() (list []int) {
	for s := range shards {
		list = append(list, s)
	}
	return list
}

// replyDelay staggers the replicas' replies, so that no two arrive at once and both fronts receive them in the same
// order.
func replyDelay(shard int) time.Duration { return 150*ms + time.Duration(shard)*ms }

// served has replicas serve every attempt, after the shard's delay.
func served(shard, _ int) fake.Reply { return fake.Reply{Kind: fake.Serve, After: replyDelay(shard)} }

// firstAttempts has the first attempts of the given shards, as many as count says, end as kind; all others are served.
func firstAttempts(count int, kind fake.Kind, of ...int) func(shard, try int) fake.Reply {
	return func(shard, try int) fake.Reply {
		if slices.Contains(of, shard) && try < count {
			return fake.Reply{Kind: kind, After: replyDelay(shard)}
		}
		return served(shard, try)
	}
}
