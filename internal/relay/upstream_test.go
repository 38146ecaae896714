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

// startRelay serves a relay that follows sources until the test ends, or stop is called.
func startRelay(t *testing.T, addresses ...string) (server *Server, address string, stop func()) {
	t.Helper()
	budget := NewSnapshotBudget(wideBudget)
	server = NewServer(newTestResource(0, budget), newTestResource(0, budget), testReaders)
	address, stopServer := start(t, server)
	ctx, cancel := context.WithCancel(context.Background())
	var following sync.WaitGroup
	config := distribution.Config{Path: distribution.Endpoints, Heartbeat: quickHeartbeat,
		SilenceTolerance: 2 * time.Second}
	for _, a := range addresses {
		config.Sources = append(config.Sources, failover.Source{Address: a})
	}
	following.Go(func() { server.Endpoints.Follow(ctx, config) })
	stop = sync.OnceFunc(func() { cancel(); stopServer(); following.Wait() })
	t.Cleanup(stop)
	return server, address, stop
}

// waitForHead waits until a resource is at a version.
func waitForHead(t *testing.T, r *Resource, head versionlog.Version) {
	t.Helper()
	waitFor(t, fmt.Sprintf("the relay does not get to %+v", head), func() bool { return r.Head() == head })
}

// A relay behind another relay is killed while a reader follows it. Versions are the authority's everywhere, so the
// reader goes on at a new relay from where it was, with the changes alone.
func TestReaderOfKilledRelayGoesOnElsewhere(t *testing.T) {
	const list, burst = 600, 368
	top := newAuthorityServer(5, wideBudget)
	topAddress, _ := start(t, top)
	mustPublish(t, top.Endpoints, endpointChanges(list, 1))
	_, firstAddress, _ := startRelay(t, topAddress)
	second, secondAddress, kill := startRelay(t, firstAddress)
	waitForHead(t, second.Endpoints, versionlog.Version{Epoch: 5, Index: list})
	r := newReader(t, secondAddress)
	r.readAll(t)
	mustPublish(t, top.Endpoints, endpointChanges(burst, 2))
	if status, err := r.call(longWait); status != 200 || err != nil ||
		r.cursor.Version != (versionlog.Version{Epoch: 5, Index: list + burst}) {
		t.Fatalf("status %d, %v, the reader is at %+v", status, err, r.cursor)
	}
	kill()
	if _, err := r.call(0); err == nil {
		t.Fatal("the killed relay answers")
	}
	r.slices = 0
	again, againAddress, _ := startRelay(t, firstAddress, topAddress)
	waitForHead(t, again.Endpoints, r.cursor.Version)
	mustPublish(t, top.Endpoints, endpointChanges(burst, 3))
	r.client.Address = againAddress
	if status, err := r.call(longWait); status != 200 || err != nil || r.slices != 1 || !r.cursor.Complete() ||
		again.Endpoints.Status().Snapshots != 0 {
		t.Errorf("status %d, %v, %d slices to %+v, %+v", status, err, r.slices, r.cursor, again.Endpoints.Status())
	}
	if len(r.live) != list || !strings.Contains(r.live["endpoint-00000"], ":10003") {
		t.Errorf("%d entries, the first is %s", len(r.live), r.live["endpoint-00000"])
	}
}

// An authority fails, and a later one with a newer epoch takes over; then that one fails too, and the older one is
// back. The relay and its readers take the newer epoch's complete list, and nothing of the older one after that.
func TestOlderEpochIsNotApplied(t *testing.T) {
	const list = 30
	older, newer := newAuthorityServer(5, wideBudget), newAuthorityServer(6, wideBudget)
	olderAddress, stopOlder := start(t, older)
	newerAddress, stopNewer := start(t, newer)
	mustPublish(t, older.Endpoints, endpointChanges(list, 1))
	below, belowAddress, _ := startRelay(t, olderAddress, newerAddress)
	waitFor(t, "the relay has nothing", func() bool { return below.Endpoints.Head().Index > 0 })
	r := newReader(t, belowAddress)
	r.readAll(t)
	mustPublish(t, newer.Endpoints, endpointChanges(list/2, 2))
	stopOlder()
	waitForHead(t, below.Endpoints, versionlog.Version{Epoch: 6, Index: list / 2})
	r.readAll(t)
	r.checkList(t, list/2, 2)
	stopNewer()
	again := newAuthorityServer(5, wideBudget)
	mustPublish(t, again.Endpoints, endpointChanges(2*list, 1))
	againAddress, _ := startAt(t, again, olderAddress)
	waitFor(t, "the relay does not ask", func() bool { return again.Endpoints.Status().RejectedBehind > 0 })
	r.client.Address = againAddress
	r.client.Close()
	if status, err := r.call(0); status != 409 || err != nil {
		t.Errorf("a reader of the later epoch: status %d, %v", status, err)
	}
	other := newReader(t, belowAddress)
	other.readAll(t)
	other.checkList(t, list/2, 2)
}

// scriptedSource answers every call with one body.
type scriptedSource struct {
	mu    sync.Mutex
	body  string
	calls int // since body was set
}

func (s *scriptedSource) handle(*http1.Message, <-chan struct{}) *http1.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return &http1.Message{Status: 200, Header: textproto.MIMEHeader{}, Body: []byte(s.body)}
}

// setBody changes the answer.
func (s *scriptedSource) setBody(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.body, s.calls = body, 0
}

// callCount returns how many calls were given the present answer.
func (s *scriptedSource) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// A relay's source begins to give answers that no relay gives by the protocol. The relay applies nothing of them, and
// its readers get what it had.
func TestInvalidAnswersAreNotGivenOut(t *testing.T) {
	const complete = `{"epoch":7,"index":20,"head":20,"snapshot":true,"more":false,"endpoints":[` +
		`{"version":3,"name":"a","status":"in_service"},{"version":20,"name":"b","status":"in_service"}]}`
	entry := func(version int, name, status string) string {
		return fmt.Sprintf(`{"version":%d,"name":%q,"status":%q}`, version, name, status)
	}
	answer := func(epoch, index int, entries ...string) string {
		return fmt.Sprintf(`{"epoch":%d,"index":%d,"head":%d,"endpoints":[%s]}`, epoch, index, index,
			strings.Join(entries, ","))
	}
	snapshot := func(epoch, index int, entry string) string {
		return fmt.Sprintf(`{"epoch":%d,"index":%d,"head":%d,"snapshot":true,"endpoints":[%s]}`, epoch, index, index, entry)
	}
	oversized := fmt.Sprintf(`{"version":21,"name":"a","status":"in_service","text":%q}`, strings.Repeat("x", maxBody))
	for what, body := range map[string]string{
		"unreadable":       `{"epoch":7,"index":21,"head":21,"endpoints":[{"version":21,"name":"a"`,
		"not JSON":         "\x00\xff",
		"oversized":        answer(7, 21, oversized),
		"out of order":     answer(7, 22, entry(22, "a", "terminated"), entry(21, "b", "terminated")),
		"replayed":         answer(7, 22, entry(20, "a", "terminated")),
		"a name twice":     answer(7, 22, entry(21, "a", "terminated"), entry(22, "a", "in_service")),
		"no name":          answer(7, 22, `{"version":21,"status":"terminated"}`),
		"an older list":    snapshot(7, 19, entry(19, "a", "in_service")),
		"an older epoch":   snapshot(6, 90, entry(90, "a", "in_service")),
		"another's change": answer(8, 22, entry(22, "a", "terminated")),
		"half a list": `{"epoch":7,"index":25,"head":30,"snapshot":true,"more":true,"base":30,` +
			`"endpoints":[{"version":25,"name":"c","status":"in_service"}]}`,
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			source := &scriptedSource{body: complete}
			address, _ := start(t, &Server{endWatches: func() {},
				server: &http1.Server{Handler: source.handle, Limits: http1.DefaultLimits}})
			below, belowAddress, _ := startRelay(t, address)
			waitForHead(t, below.Endpoints, versionlog.Version{Epoch: 7, Index: 20})
			source.setBody(body)
			waitFor(t, "the source is not asked", func() bool { return source.callCount() >= 2 })
			r := newReader(t, belowAddress)
			r.readAll(t)
			if len(r.live) != 2 || r.cursor.Version != (versionlog.Version{Epoch: 7, Index: 20}) {
				t.Errorf("a reader gets %v at %+v", r.live, r.cursor)
			}
		})
	}
}
