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

// startRelay runs a relay that follows the sources at addresses, until the test ends or stop is called.
func startRelay(t *testing.T, addresses ...string) (server *Server, address string, stop func()) {
	t.Helper()
	budget := NewSnapshotBudget(ampleBudget)
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

// waitForHead waits until a relay's resource is at a version.
func waitForHead(t *testing.T, r *Resource, head versionlog.Version) {
	t.Helper()
	waitFor(t, fmt.Sprintf("the relay does not reach version %+v", head), func() bool { return r.Head() == head })
}

// A relay that follows another relay is killed while a reader follows it. All relays serve the authority's versions, so
// the reader continues from its version at a new relay and gets only the changes.
func TestReaderOfKilledRelayGoesOnElsewhere(t *testing.T) {
	const entries, burst = 600, 368
	authority := newAuthorityServer(5, ampleBudget)
	authorityAddress, _ := start(t, authority)
	mustPublish(t, authority.Endpoints, endpointChanges(entries, 1))
	_, firstAddress, _ := startRelay(t, authorityAddress)
	second, secondAddress, kill := startRelay(t, firstAddress)
	waitForHead(t, second.Endpoints, versionlog.Version{Epoch: 5, Index: entries})
	r := newReader(t, secondAddress)
	r.readAll(t)
	mustPublish(t, authority.Endpoints, endpointChanges(burst, 2))
	if status, err := r.call(longWait); status != 200 || err != nil ||
		r.cursor.Version != (versionlog.Version{Epoch: 5, Index: entries + burst}) {
		t.Fatalf("reader's call: status %d, error %v, reader is at %+v", status, err, r.cursor)
	}
	kill()
	if _, err := r.call(0); err == nil {
		t.Fatal("killed relay answers")
	}
	r.slices = 0
	replacement, replacementAddress, _ := startRelay(t, firstAddress, authorityAddress)
	waitForHead(t, replacement.Endpoints, r.cursor.Version)
	mustPublish(t, authority.Endpoints, endpointChanges(burst, 3))
	r.client.Address = replacementAddress
	if status, err := r.call(longWait); status != 200 || err != nil || r.slices != 1 || !r.cursor.Complete() ||
		replacement.Endpoints.Status().Snapshots != 0 {
		t.Errorf("reader at the new relay: status %d, error %v, %d slices, is at %+v; relay's list %+v",
			status, err, r.slices, r.cursor, replacement.Endpoints.Status())
	}
	if len(r.live) != entries || !strings.Contains(r.live["endpoint-00000"], ":10003") {
		t.Errorf("reader has %d entries, the first is %s", len(r.live), r.live["endpoint-00000"])
	}
}

// An authority fails, and a second one with a newer epoch takes over. Then the second one fails, and the first one runs
// again. The relay and its readers apply the complete list of the newer epoch, and after that nothing of the older one.
func TestOlderEpochIsNotApplied(t *testing.T) {
	const entries = 30
	older, newer := newAuthorityServer(5, ampleBudget), newAuthorityServer(6, ampleBudget)
	olderAddress, stopOlder := start(t, older)
	newerAddress, stopNewer := start(t, newer)
	mustPublish(t, older.Endpoints, endpointChanges(entries, 1))
	downstream, downstreamAddress, _ := startRelay(t, olderAddress, newerAddress)
	waitFor(t, "the relay has no version", func() bool { return downstream.Endpoints.Head().Index > 0 })
	r := newReader(t, downstreamAddress)
	r.readAll(t)
	mustPublish(t, newer.Endpoints, endpointChanges(entries/2, 2))
	stopOlder()
	waitForHead(t, downstream.Endpoints, versionlog.Version{Epoch: 6, Index: entries / 2})
	r.readAll(t)
	r.checkList(t, entries/2, 2)
	stopNewer()
	restarted := newAuthorityServer(5, ampleBudget)
	mustPublish(t, restarted.Endpoints, endpointChanges(2*entries, 1))
	restartedAddress, _ := startAt(t, restarted, olderAddress)
	waitFor(t, "the relay does not call the restarted authority",
		func() bool { return restarted.Endpoints.Status().RejectedBehind > 0 })
	r.client.Address = restartedAddress
	r.client.Close()
	if status, err := r.call(0); status != 409 || err != nil {
		t.Errorf("reader of the newer epoch at the older authority: status %d, error %v, want 409", status, err)
	}
	other := newReader(t, downstreamAddress)
	other.readAll(t)
	other.checkList(t, entries/2, 2)
}

// scriptedSource answers every call with one body.
type scriptedSource struct {
	mu    sync.Mutex
	body  string
	calls int // number of calls since body was set
}

func (s *scriptedSource) handle(*http1.Message, <-chan struct{}) *http1.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return &http1.Message{Status: 200, Header: textproto.MIMEHeader{}, Body: []byte(s.body)}
}

// setBody sets the body of all further answers.
func (s *scriptedSource) setBody(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.body, s.calls = body, 0
}

// callCount returns how many calls were answered with the current body.
func (s *scriptedSource) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// A relay's source starts to send answers that break the protocol. The relay applies no part of them, and its readers
// still get the list that it had.
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
			downstream, downstreamAddress, _ := startRelay(t, address)
			waitForHead(t, downstream.Endpoints, versionlog.Version{Epoch: 7, Index: 20})
			source.setBody(body)
			waitFor(t, "the relay does not call its source again", func() bool { return source.callCount() >= 2 })
			r := newReader(t, downstreamAddress)
			r.readAll(t)
			if len(r.live) != 2 || r.cursor.Version != (versionlog.Version{Epoch: 7, Index: 20}) {
				t.Errorf("reader has entries %v at %+v, want a and b at index 20", r.live, r.cursor)
			}
		})
	}
}
