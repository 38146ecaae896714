package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"harepass/internal/decide/versionlog"
	"harepass/internal/http1"
)

const (
	longHold     = 20 * time.Second // no test waits for its end
	wideBudget   = 1 << 30
	testReaders  = 400
	testRemovals = 1000
)

// object is an entry of about the size of a node's.
func object(name string, value int) []byte {
	return fmt.Appendf(nil, `{"name":%q,"address":"127.0.0.1:%d","zone":"zone-1","group":3,"status":"in_service","since_ms":%d}`,
		name, 10000+value, 1790000000000+value)
}

// nodes are changes that bring n entries to a state.
func nodes(n, value int) (changes []versionlog.Change) {
	for i := range n {
		name := fmt.Sprintf("node-%05d", i)
		changes = append(changes, versionlog.Change{Name: name, Object: object(name, value)})
	}
	return changes
}

// start serves two resources on a loopback address until the test ends, or stop is called.
func start(t *testing.T, server *Server) (address string, stop func()) {
	t.Helper()
	return startAt(t, server, "127.0.0.1:0")
}

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

// smallBuffers has each connection hold little of what its reader does not take.
type smallBuffers struct{ net.Listener }

func (l smallBuffers) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
	}
	return conn, err
}

// authority is a server with a list of its own, of an epoch.
func authority(epoch int64, budget int) *Server {
	b := NewSnapshotBudget(budget)
	return NewServer(NewResource(versionlog.New(epoch, testRemovals), b), NewResource(versionlog.New(epoch, testRemovals), b), testReaders)
}

func publish(t *testing.T, r *Resource, changes []versionlog.Change) {
	t.Helper()
	if _, err := r.Publish(changes); err != nil {
		t.Fatal(err)
	}
}

// reader keeps what it has read over one connection.
type reader struct {
	client http1.Client
	path   string
	cursor versionlog.Cursor
	live   map[string]string
	held   map[string]bool // by the snapshot that is coming in
	slices int
	bytes  int // of their bodies
}

func newReader(t *testing.T, address string) *reader {
	r := &reader{client: http1.Client{Address: address, Limits: http1.DefaultLimits}, path: EndpointsPath, live: map[string]string{}}
	t.Cleanup(r.client.Close)
	return r
}

func (r *reader) get(target string) (*http1.Message, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*longHold)
	defer cancel()
	answer, _, err := r.client.Do(ctx, &http1.Message{Method: "GET", Target: target, Header: textproto.MIMEHeader{"Host": {"relay"}}})
	return answer, err
}

// call makes the reader's next call, and takes its slice where that is answered with 200.
func (r *reader) call(hold time.Duration) (status int, err error) {
	answer, err := r.get(fmt.Sprintf("%s?epoch=%d&from=%d&base=%d&head=%d&hold_ms=%d", r.path, r.cursor.Epoch, r.cursor.Index,
		r.cursor.Base, r.cursor.Head, hold.Milliseconds()))
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
		r.take(slice)
	}
	return 200, err
}

func (r *reader) take(slice versionlog.Slice) {
	r.slices++
	if slice.Snapshot {
		r.held = map[string]bool{}
	}
	for _, entry := range slice.Entries {
		if r.live[entry.Name] = string(entry.Body); entry.Removed {
			delete(r.live, entry.Name)
		}
		if r.held != nil {
			r.held[entry.Name] = true
		}
	}
	if r.held != nil && slice.Base == 0 {
		for name := range r.live {
			if !r.held[name] {
				delete(r.live, name)
			}
		}
		r.held = nil
	}
	r.cursor = r.cursor.After(slice)
}

// readAll reads until the reader has all there is.
func (r *reader) readAll(t *testing.T) {
	t.Helper()
	for more := true; more; more = !r.cursor.Complete() {
		if status, err := r.call(0); status != 200 || err != nil {
			t.Fatalf("status %d, %v", status, err)
		}
	}
}

// wantNodes checks that the reader has exactly the nodes of a state.
func (r *reader) wantNodes(t *testing.T, n, value int) {
	t.Helper()
	if len(r.live) != n {
		t.Fatalf("%d entries, want %d", len(r.live), n)
	}
	for i := range n {
		name := fmt.Sprintf("node-%05d", i)
		var got struct{ Address string }
		if err := json.Unmarshal([]byte(r.live[name]), &got); err != nil || got.Address != fmt.Sprintf("127.0.0.1:%d", 10000+value) {
			t.Fatalf("%s is %q, %v", name, r.live[name], err)
		}
	}
}

// waitFor waits until something holds that other goroutines bring about.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(longHold); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// A long list comes in slices of at most 64 KiB (the client takes no more) that put together are the list; each is written
// once for all readers.
func TestLongList(t *testing.T) {
	const long = 7000
	server := authority(5, wideBudget)
	address, _ := start(t, server)
	publish(t, server.Endpoints, nodes(long, 1))
	for range 2 {
		r := newReader(t, address)
		r.readAll(t)
		r.wantNodes(t, long, 1)
		if r.slices < 10 || r.cursor.Version != (versionlog.Version{Epoch: 5, Index: long}) {
			t.Errorf("%d slices to %+v", r.slices, r.cursor)
		}
		if status := server.Endpoints.Status(); int(status.Encoded) != r.slices || status.Waiting != 0 {
			t.Errorf("%d slices were written for readers of %d each, %d wait", status.Encoded, r.slices, status.Waiting)
		}
	}
}

// What changes at once reaches each of many watchers in one answer, written once; a name that goes and one that comes
// among it. A reader that has the news is not answered before there is more, or its time is over.
func TestBurstInOneSlice(t *testing.T) {
	const watchers, list, burst = 40, 500, 368
	server := authority(5, wideBudget)
	address, _ := start(t, server)
	publish(t, server.Endpoints, nodes(list, 1))
	var readers []*reader
	var watching sync.WaitGroup
	for range watchers {
		r := newReader(t, address)
		r.readAll(t)
		readers = append(readers, r)
	}
	before := server.Endpoints.Status()
	for _, r := range readers {
		r.slices = 0
		watching.Go(func() {
			if status, err := r.call(longHold); status != 200 || err != nil {
				t.Errorf("status %d, %v", status, err)
			}
		})
	}
	waitFor(t, "not all readers watch", func() bool { return server.Endpoints.Status().Waiting == watchers })
	changes := nodes(burst, 2)
	changes[0].Removed = true
	publish(t, server.Endpoints, append(changes, versionlog.Change{Name: "new", Object: object("new", 2)}))
	watching.Wait()
	for _, r := range readers {
		if r.slices != 1 || len(r.live) != list || r.live["new"] == "" || r.live["node-00000"] != "" || !r.cursor.Complete() {
			t.Fatalf("%d slices, %d entries, at %+v", r.slices, len(r.live), r.cursor)
		}
	}
	after := server.Endpoints.Status()
	if after.Encoded-before.Encoded != 1 || after.Snapshots != before.Snapshots || after.EntriesSent-before.EntriesSent != watchers*(burst+1) {
		t.Errorf("before the burst %+v, after it %+v", before, after)
	}
	began := time.Now()
	if status, err := readers[0].call(30 * time.Millisecond); status != 200 || err != nil || time.Since(began) < 30*time.Millisecond || readers[0].slices != 2 {
		t.Errorf("heartbeat: status %d, %v after %v", status, err, time.Since(began))
	}
}

// What cannot be answered is refused with the status that says why.
func TestRefusals(t *testing.T) {
	server := authority(5, wideBudget)
	address, _ := start(t, server)
	r := newReader(t, address)
	answer, err := r.get(EndpointsPath)
	if err != nil || answer.Status != 503 {
		t.Fatalf("with nothing to give out: %+v, %v", answer, err)
	}
	if wait, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err != nil || wait <= 0 {
		t.Errorf("Retry-After %q", answer.Header.Get("Retry-After"))
	}
	publish(t, server.Endpoints, nodes(10, 1))
	for target, want := range map[string]int{
		EndpointsPath: 200, SettingsPath: 503, StatusPath: 200, "/registry": 404, "/": 404,
		EndpointsPath + "?epoch=5&from=10":                            200,
		EndpointsPath + "?epoch=4&from=900":                           200, // an older epoch's reader begins anew
		EndpointsPath + "?epoch=5&from=11":                            409,
		EndpointsPath + "?epoch=5&from=3&base=11":                     409,
		EndpointsPath + "?epoch=5&from=10&head=11":                    409,
		EndpointsPath + "?epoch=6&from=1&hold_ms=9":                   409,
		EndpointsPath + "?from=x":                                     400,
		EndpointsPath + "?from=-1":                                    400,
		EndpointsPath + "?epoch=99999999999999999999":                 400,
		EndpointsPath + "?hold_ms=1.5":                                400,
		EndpointsPath + "?hold_ms=9223372036854775807&from=2&epoch=5": 200,
	} {
		if answer, err := r.get(target); err != nil || answer.Status != want {
			t.Errorf("%s: %+v, %v, want %d", target, answer, err, want)
		}
	}
	post := &http1.Message{Method: "POST", Target: EndpointsPath, Header: textproto.MIMEHeader{"Host": {"relay"}}}
	if answer, _, err := r.client.Do(context.Background(), post); err != nil || answer.Status != 405 {
		t.Errorf("POST: %+v, %v", answer, err)
	}
}

// A reader that does not take its answer holds up no other.
func TestReaderThatDoesNotRead(t *testing.T) {
	const long, stuck, requests = 1000, 5, 8
	server := authority(5, wideBudget)
	address, _ := start(t, server)
	publish(t, server.Endpoints, nodes(long, 1))
	for range stuck {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.(*net.TCPConn).SetReadBuffer(4 << 10)
		fmt.Fprint(c, strings.Repeat("GET "+EndpointsPath+" HTTP/1.1\r\nHost: relay\r\n\r\n", requests))
	}
	waitFor(t, "not all have called", func() bool { return server.Endpoints.Status().Calls >= stuck })
	r := newReader(t, address)
	for value := 2; value < 6; value++ {
		publish(t, server.Endpoints, nodes(368, value))
		r.readAll(t)
	}
	if len(r.live) != long {
		t.Errorf("%d entries, want %d", len(r.live), long)
	}
	if taken := int(server.bytesOut.Load()) - r.bytes; taken > stuck*requests*maxBody/2 {
		t.Errorf("the others took %d bytes: they were not stuck", taken)
	}
}

// At its end the server answers watches at once and closes their connections.
func TestShutdownAnswersWatches(t *testing.T) {
	server := authority(5, wideBudget)
	address, stop := start(t, server)
	publish(t, server.Endpoints, nodes(10, 1))
	r := newReader(t, address)
	r.readAll(t)
	done := make(chan error)
	go func() {
		_, err := r.call(longHold)
		done <- err
	}()
	waitFor(t, "no reader watches", func() bool { return server.Endpoints.Status().Waiting == 1 })
	stop()
	if err := <-done; err != nil {
		t.Errorf("the watch ended with %v", err)
	}
	if _, err := r.call(0); err == nil {
		t.Error("the server answers after its end")
	}
}

// Watches over the limit are refused and do not displace others; a reader that leaves makes room.
func TestReadersAreBounded(t *testing.T) {
	budget := NewSnapshotBudget(wideBudget)
	server := NewServer(NewResource(versionlog.New(5, testRemovals), budget), NewResource(versionlog.New(5, testRemovals), budget), 2)
	address, _ := start(t, server)
	publish(t, server.Endpoints, nodes(10, 1))
	var watching sync.WaitGroup
	defer watching.Wait()
	for i := range 2 {
		r := newReader(t, address)
		r.readAll(t)
		watching.Go(func() { r.call(longHold) })
		waitFor(t, "no reader watches", func() bool { return server.Endpoints.Status().Waiting == i+1 })
	}
	third := newReader(t, address)
	if status, err := third.call(0); status != 503 || err != nil {
		t.Errorf("the third reader has status %d, %v", status, err)
	}
	publish(t, server.Endpoints, nodes(10, 2))
	watching.Wait()
	if status, err := third.call(0); status != 200 || err != nil {
		t.Errorf("the third reader, when the others have their news: status %d, %v", status, err)
	}
}

// Of readers that start in one instant those over the budget are told when to come back, and have their lists then.
func TestSnapshotsWithinBudget(t *testing.T) {
	const long, fleet = 1000, 15
	server := authority(5, 1_000_000)
	address, _ := start(t, server)
	publish(t, server.Endpoints, nodes(long, 1))
	_, bytes := server.Endpoints.log.Live()
	var starting sync.WaitGroup
	for range fleet {
		r := newReader(t, address)
		starting.Go(func() {
			for !r.cursor.Complete() {
				answer, err := r.get(fmt.Sprintf("%s?epoch=%d&from=%d&base=%d", EndpointsPath, r.cursor.Epoch, r.cursor.Index, r.cursor.Base))
				if err != nil || answer.Status != 200 && answer.Status != 503 {
					t.Errorf("%+v, %v", answer, err)
					return
				}
				if answer.Status == 503 {
					wait, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
					time.Sleep(time.Duration(wait * float64(time.Second)))
					continue
				}
				slice, err := versionlog.ParseSlice(answer.Body)
				if err != nil {
					t.Error(err)
					return
				}
				r.take(slice)
			}
			r.wantNodes(t, long, 1)
		})
	}
	starting.Wait()
	status := server.Endpoints.Status()
	if status.Snapshots != fleet || status.SnapshotBytes != int64(fleet*bytes) || status.SnapshotsRejected == 0 || status.SnapshotsRejected > 3*fleet {
		t.Errorf("%+v", status)
	}
}
