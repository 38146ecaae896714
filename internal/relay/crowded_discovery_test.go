package relay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"harepass/internal/decide/backoff"
)

const (
	// turnWait is how long a new call to the crowded discovery waits for its turn.
	turnWait = 1200 * time.Millisecond
	// watchRenewal is the time after an answer in which the next call on its connection continues the watch.
	watchRenewal = 200 * time.Millisecond
)

// crowdedDiscovery serves a list with one endpoint. While it is crowded, each new call waits for its turn and is then
// answered. A call that continues a watch needs no turn.
type crowdedDiscovery struct {
	mu       sync.Mutex
	crowded  bool
	draining bool
	answered map[string]time.Time // by the caller's address: when its last answer was written
}

// update changes the fields under the lock.
func (d *crowdedDiscovery) update(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

// state returns the list's index and the endpoint's status.
func (d *crowdedDiscovery) state() (index int, status string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return 2, "terminating"
	}
	return 1, "in_service"
}

// needsTurn reports whether a call has to wait for its turn.
func (d *crowdedDiscovery) needsTurn(caller string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crowded && time.Since(d.answered[caller]) > watchRenewal
}

func (d *crowdedDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.needsTurn(r.RemoteAddr) {
		select {
		case <-time.After(turnWait):
		case <-r.Context().Done():
			return
		}
	}
	var from, hold int
	fmt.Sscan(r.URL.Query().Get("from"), &from)
	fmt.Sscan(r.URL.Query().Get("hold_ms"), &hold)
	index, status := d.state()
	for end := time.Now().Add(time.Duration(hold) * time.Millisecond); index == from && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
		index, status = d.state()
	}
	const list = `{"index":%d,"snapshot":true,"endpoints":[{"name":"a","address":"127.0.0.1:1","status":%q}]}`
	fmt.Fprintf(w, list, index, status)
	d.update(func() { d.answered[r.RemoteAddr] = time.Now() })
}

// Discovery is crowded: all watches are reset, each new call waits 1.2 s for its turn and is then answered. An endpoint
// begins to drain. An authority that gives its calls up before their turn never hears of the drain, and neither does any
// coordinator behind its relays (review/REPORT.md). It has to publish the drain before the drain counts as notified.
func TestAuthorityIsHeardByCrowdedDiscovery(t *testing.T) {
	t.Parallel()
	discovery := &crowdedDiscovery{answered: map[string]time.Time{}}
	service := httptest.NewServer(discovery)
	defer service.Close()
	server := newAuthorityServer(5, ampleBudget)
	address, _ := start(t, server)
	a := &Authority{Endpoints: server.Endpoints, Settings: server.Settings,
		Discovery: strings.TrimPrefix(service.URL, "http://")}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { a.Run(ctx) })
	defer running.Wait()
	defer cancel()
	waitFor(t, "the authority has no list", func() bool { return server.Endpoints.Head().Index > 0 })

	discovery.update(func() { discovery.crowded = true })
	service.CloseClientConnections()
	time.Sleep(time.Second)
	discovery.update(func() { discovery.draining = true })
	r := newReader(t, address)
	for end := time.Now().Add(backoff.NotifiedAfter); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r.readAll(t); strings.Contains(r.live["a"], "terminating") {
			return
		}
	}
	t.Errorf("readers have %s when the drain counts as notified", r.live["a"])
}
