package relay

import (
	"context"
	"fmt"
	"net/textproto"
	"strings"
	"sync"
	"testing"
	"time"

	"harepass/internal/decide/failover"
	"harepass/internal/decide/versionlog"
	"harepass/internal/distribution"
	"harepass/internal/http1"
)

// chained serves a relay that follows sources until the test ends, or stop is called.
func chained(t *testing.T, addresses ...string) (server *Server, address string, stop func()) {
	t.Helper()
	budget := NewSnapshotBudget(wideBudget)
	server = NewServer(NewResource(versionlog.New(0, testRemovals), budget), NewResource(versionlog.New(0, testRemovals), budget), testReaders)
	address, stopServer := start(t, server)
	ctx, cancel := context.WithCancel(context.Background())
	var following sync.WaitGroup
	config := distribution.Config{Resource: distribution.Endpoints, Heartbeat: 100 * time.Millisecond, Allowance: 2 * time.Second}
	for _, a := range addresses {
		config.Sources = append(config.Sources, failover.Source{Address: a})
	}
	following.Go(func() { server.Endpoints.Follow(ctx, config) })
	stop = sync.OnceFunc(func() { cancel(); stopServer(); following.Wait() })
	t.Cleanup(stop)
	return server, address, stop
}

func waitForHead(t *testing.T, r *Resource, head versionlog.Version) {
	t.Helper()
	waitFor(t, fmt.Sprintf("the relay does not get to %+v", head), func() bool { return r.Head() == head })
}

// Versions stay the authority's over two relays; a reader of one that is killed goes on where it was at another, and at
// the same one when that is back, with changes alone.
func TestRelayKilledAndRestarted(t *testing.T) {
	const list, burst = 600, 368
	top := authority(5, wideBudget)
	topAddress, _ := start(t, top)
	publish(t, top.Endpoints, nodes(list, 1))
	_, firstAddress, _ := chained(t, topAddress)
	second, secondAddress, kill := chained(t, firstAddress)
	waitForHead(t, second.Endpoints, versionlog.Version{Epoch: 5, Index: list})
	r := newReader(t, secondAddress)
	r.readAll(t)
	publish(t, top.Endpoints, nodes(burst, 2))
	if status, err := r.call(longHold); status != 200 || err != nil || r.cursor.Version != (versionlog.Version{Epoch: 5, Index: list + burst}) {
		t.Fatalf("status %d, %v, the reader is at %+v", status, err, r.cursor)
	}
	kill()
	if _, err := r.call(0); err == nil {
		t.Fatal("the killed relay answers")
	}
	r.slices = 0
	again, againAddress, _ := chained(t, firstAddress, topAddress)
	waitForHead(t, again.Endpoints, r.cursor.Version)
	publish(t, top.Endpoints, nodes(burst, 3))
	r.client.Address = againAddress
	if status, err := r.call(longHold); status != 200 || err != nil || r.slices != 1 || !r.cursor.Complete() || again.Endpoints.Status().Snapshots != 0 {
		t.Errorf("status %d, %v, %d slices to %+v, %+v", status, err, r.slices, r.cursor, again.Endpoints.Status())
	}
	if len(r.live) != list || !strings.Contains(r.live["node-00000"], ":10003") {
		t.Errorf("%d entries, the first is %s", len(r.live), r.live["node-00000"])
	}
}

// A relay and its readers go over to a later authority by a whole list, and take nothing of an earlier one from any source.
func TestOlderEpochIsNotTakenOver(t *testing.T) {
	const list = 30
	older, newer := authority(5, wideBudget), authority(6, wideBudget)
	olderAddress, stopOlder := start(t, older)
	newerAddress, stopNewer := start(t, newer)
	publish(t, older.Endpoints, nodes(list, 1))
	below, belowAddress, _ := chained(t, olderAddress, newerAddress)
	waitFor(t, "the relay has nothing", func() bool { return below.Endpoints.Head().Index > 0 })
	r := newReader(t, belowAddress)
	r.readAll(t)
	publish(t, newer.Endpoints, nodes(list/2, 2))
	stopOlder()
	waitForHead(t, below.Endpoints, versionlog.Version{Epoch: 6, Index: list / 2})
	r.readAll(t)
	r.wantNodes(t, list/2, 2)
	stopNewer()
	again := authority(5, wideBudget)
	publish(t, again.Endpoints, nodes(2*list, 1))
	againAddress, _ := startAt(t, again, olderAddress)
	waitFor(t, "the relay does not ask", func() bool { return again.Endpoints.Status().RejectedBehind > 0 })
	r.client.Address = againAddress
	r.client.Close()
	if status, err := r.call(0); status != 409 || err != nil {
		t.Errorf("a reader of the later epoch: status %d, %v", status, err)
	}
	other := newReader(t, belowAddress)
	other.readAll(t)
	other.wantNodes(t, list/2, 2)
}

// scripted answers every call with what the test says.
type scripted struct {
	mu    sync.Mutex
	body  string
	calls int
}

func (s *scripted) handle(*http1.Message, <-chan struct{}) *http1.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return &http1.Message{Status: 200, Header: textproto.MIMEHeader{}, Body: []byte(s.body)}
}

func (s *scripted) say(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.body, s.calls = body, 0
}

func (s *scripted) called() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Whatever a source answers that no relay gives, this one keeps and gives out what it has.
func TestSpoiltAnswersAreRefused(t *testing.T) {
	const whole = `{"epoch":7,"index":20,"head":20,"snapshot":true,"more":false,"endpoints":[` +
		`{"version":3,"name":"a","status":"in_service"},{"version":20,"name":"b","status":"in_service"}]}`
	for what, body := range map[string]string{
		"unreadable":       `{"epoch":7,"index":21,"head":21,"endpoints":[{"version":21,"name":"a"`,
		"not JSON":         "\x00\xff",
		"oversized":        `{"epoch":7,"index":21,"head":21,"endpoints":[{"version":21,"name":"a","status":"in_service","text":"` + strings.Repeat("x", maxBody) + `"}]}`,
		"out of order":     `{"epoch":7,"index":22,"head":22,"endpoints":[{"version":22,"name":"a","status":"terminated"},{"version":21,"name":"b","status":"terminated"}]}`,
		"replayed":         `{"epoch":7,"index":22,"head":22,"endpoints":[{"version":20,"name":"a","status":"terminated"}]}`,
		"a name twice":     `{"epoch":7,"index":22,"head":22,"endpoints":[{"version":21,"name":"a","status":"terminated"},{"version":22,"name":"a","status":"in_service"}]}`,
		"no name":          `{"epoch":7,"index":22,"head":22,"endpoints":[{"version":21,"status":"terminated"}]}`,
		"an older list":    `{"epoch":7,"index":19,"head":19,"snapshot":true,"endpoints":[{"version":19,"name":"a","status":"in_service"}]}`,
		"an older epoch":   `{"epoch":6,"index":90,"head":90,"snapshot":true,"endpoints":[{"version":90,"name":"a","status":"in_service"}]}`,
		"another's change": `{"epoch":8,"index":22,"head":22,"endpoints":[{"version":22,"name":"a","status":"terminated"}]}`,
		"half a list":      `{"epoch":7,"index":25,"head":30,"snapshot":true,"more":true,"base":30,"endpoints":[{"version":25,"name":"c","status":"in_service"}]}`,
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			source := &scripted{body: whole}
			address, _ := start(t, &Server{server: &http1.Server{Handler: source.handle, Limits: http1.DefaultLimits}, end: func() {}})
			below, belowAddress, _ := chained(t, address)
			waitForHead(t, below.Endpoints, versionlog.Version{Epoch: 7, Index: 20})
			source.say(body)
			waitFor(t, "the source is not asked", func() bool { return source.called() >= 2 })
			r := newReader(t, belowAddress)
			r.readAll(t)
			if len(r.live) != 2 || r.cursor.Version != (versionlog.Version{Epoch: 7, Index: 20}) {
				t.Errorf("a reader gets %v at %+v", r.live, r.cursor)
			}
		})
	}
}
