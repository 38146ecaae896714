package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/textproto"
	"sync"
	"testing"
	"time"

	"harepass/internal/decide/versionlog"
	"harepass/internal/http1"
)

const (
	longWait     = 20 * time.Second // longer than any wait of a passing test
	ampleBudget  = 1 << 30          // bytes per second; no reader is rejected
	testReaders  = 400              // limit of open calls
	testRemovals = 1000             // number of tombstones that a log remembers
)

// reader reads a resource over one connection, and keeps the entries that it receives.
type reader struct {
	client     http1.Client
	path       string
	cursor     versionlog.Cursor
	live       map[string]string // the entries' bodies, by name
	inSnapshot map[string]bool   // names in the snapshot that is being received; nil outside a snapshot
	slices     int               // number of answers with a slice
	bytes      int               // size of these answers' bodies
}

// newReader returns a reader of the endpoint list.
func newReader(t *testing.T, address string) *reader {
	r := &reader{client: http1.Client{Address: address, Limits: http1.DefaultLimits}, path: EndpointsPath,
		live: map[string]string{}}
	t.Cleanup(r.client.Close)
	return r
}

// get sends one call and returns its answer.
func (r *reader) get(target string) (*http1.Message, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*longWait)
	defer cancel()
	answer, _, err := r.client.Do(ctx, &http1.Message{Method: "GET", Target: target,
		Header: textproto.MIMEHeader{"Host": {"relay"}}})
	return answer, err
}

// call sends the reader's next call. If the answer has status 200, call applies its slice.
func (r *reader) call(maxWait time.Duration) (status int, err error) {
	answer, err := r.get(fmt.Sprintf("%s?epoch=%d&from=%d&base=%d&head=%d&hold_ms=%d", r.path,
		r.cursor.Epoch, r.cursor.Index, r.cursor.Base, r.cursor.NewestIndex, maxWait.Milliseconds()))
	if err != nil || answer.Status != 200 {
		if answer != nil {
			status = answer.Status
		}
		return status, err
	}
	slice, err := versionlog.ParseSlice(answer.Body)
	if err == nil {
		err = slice.Check()
	}
	if err == nil {
		r.bytes += len(answer.Body)
		r.apply(slice)
	}
	return 200, err
}

// apply applies a slice to the reader's entries and cursor.
func (r *reader) apply(slice versionlog.Slice) {
	r.slices++
	if slice.Snapshot {
		r.inSnapshot = map[string]bool{}
	}
	for _, entry := range slice.Entries {
		if r.live[entry.Name] = string(entry.Body); entry.Removed {
			delete(r.live, entry.Name)
		}
		if r.inSnapshot != nil {
			r.inSnapshot[entry.Name] = true
		}
	}
	if r.inSnapshot != nil && slice.Base == 0 {
		for name := range r.live {
			if !r.inSnapshot[name] {
				delete(r.live, name)
			}
		}
		r.inSnapshot = nil
	}
	r.cursor = r.cursor.After(slice)
}

// readAll calls until the reader has everything that the source has.
func (r *reader) readAll(t *testing.T) {
	t.Helper()
	for more := true; more; more = !r.cursor.Complete() {
		if status, err := r.call(0); status != 200 || err != nil {
			t.Fatalf("reader's call: status %d, error %v, want 200", status, err)
		}
	}
}

// checkList checks that the reader has exactly the n entries that endpointChanges(n, value) publishes.
func (r *reader) checkList(t *testing.T, n, value int) {
	t.Helper()
	if len(r.live) != n {
		t.Fatalf("reader has %d entries, want %d", len(r.live), n)
	}
	for i := range n {
		name := fmt.Sprintf("endpoint-%05d", i)
		var got struct{ Address string }
		err := json.Unmarshal([]byte(r.live[name]), &got)
		if err != nil || got.Address != fmt.Sprintf("127.0.0.1:%d", 10000+value) {
			t.Fatalf("entry %s is %q, error %v", name, r.live[name], err)
		}
	}
}

// object returns an endpoint's JSON object of about the usual size. Its port is 10000+value.
func object(name string, value int) []byte {
	return fmt.Appendf(nil,
		`{"name":%q,"address":"127.0.0.1:%d","zone":"zone-1","group":3,"status":"in_service","since_ms":%d}`,
		name, 10000+value, 1790000000000+value)
}

// endpointChanges returns changes that set n entries to objects with a value.
func endpointChanges(n, value int) (changes []versionlog.Change) {
	for i := range n {
		name := fmt.Sprintf("endpoint-%05d", i)
		changes = append(changes, versionlog.Change{Name: name, Object: object(name, value)})
	}
	return changes
}

// start runs a server on a loopback address until the test ends or stop is called.
func start(t *testing.T, server *Server) (address string, stop func()) {
	t.Helper()
	return startAt(t, server, "127.0.0.1:0")
}

// startAt runs a server on an address until the test ends or stop is called.
func startAt(t *testing.T, server *Server, at string) (address string, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() { server.Serve(smallBuffers{listener}); close(served) }()
	stop = sync.OnceFunc(func() { listener.Close(); <-served; server.Shutdown() })
	t.Cleanup(stop)
	return listener.Addr().String(), stop
}

// smallBuffers gives accepted connections small send buffers, so that a reader that does not read its answers soon
// blocks the server's writes to it.
type smallBuffers struct{ net.Listener }

func (l smallBuffers) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
	}
	return conn, err
}

// newAuthorityServer returns a server of two resources with an authority's epoch. budget is the snapshot budget, in
// bytes per second.
func newAuthorityServer(epoch int64, budget int) *Server {
	b := NewSnapshotBudget(budget)
	return NewServer(newTestResource(epoch, b), newTestResource(epoch, b), testReaders)
}

// newTestResource returns a resource with an epoch. Epoch 0 is for a resource that follows other relays.
func newTestResource(epoch int64, budget *SnapshotBudget) *Resource {
	return NewResource(versionlog.New(epoch, testRemovals), budget)
}

// mustPublish publishes changes in a resource and fails the test on an error.
func mustPublish(t *testing.T, r *Resource, changes []versionlog.Change) {
	t.Helper()
	if _, err := r.Publish(changes); err != nil {
		t.Fatal(err)
	}
}

// waitFor waits until a condition holds that other goroutines bring about. failure is the message if it never does.
func waitFor(t *testing.T, failure string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(longWait); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}
