package distribution

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"harepass/internal/decide/versionlog"
)

// sharedLog is a version log that several fake sources may serve.
type sharedLog struct {
	mu      sync.Mutex
	log     *versionlog.Log
	changed chan struct{} // closed when the log changes
}

func newSharedLog(epoch int64, names ...string) *sharedLog {
	l := &sharedLog{log: versionlog.New(epoch, 8), changed: make(chan struct{})}
	for _, name := range names {
		l.put(name, "in_service")
	}
	return l
}

// put publishes an entry with a status. The status "terminated" removes the entry.
func (l *sharedLog) put(name, status string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	object := fmt.Appendf(nil, `{"name":%q,"address":"127.0.0.1:9","zone":"z","group":0,"status":%q,"since_ms":0}`,
		name, status)
	change := versionlog.Change{Name: name, Removed: status == "terminated", Object: object}
	if _, err := l.log.Publish([]versionlog.Change{change}); err != nil {
		panic(err)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// head returns the log's version.
func (l *sharedLog) head() versionlog.Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.log.Version()
}

// fakeSource is a relay with injectable faults that serves a log on a loopback socket.
type fakeSource struct {
	log     *sharedLog
	address string

	mu         sync.Mutex
	server     *http.Server
	calls      []string                            // request targets of the calls received, in order
	silent     bool                                // the source accepts calls and never answers
	rejections int                                 // number of next calls to reject with 503 for lack of capacity
	sliceBytes int                                 // size limit of an answer's entries, in bytes
	override   func(r *http.Request) (body string) // body to send instead of the log's slice; "" for the slice
}

// newFakeSource starts a source that serves a log, and stops it when the test ends.
func newFakeSource(t *testing.T, l *sharedLog) *fakeSource {
	s := &fakeSource{log: l, sliceBytes: 60 << 10}
	t.Cleanup(s.stop)
	s.start(t)
	return s
}

// hosts counts the loopback addresses in use: each source has its own. A source that is stopped and started again
// listens on its old port. On an address shared with other sources, an outgoing connection could take that port between
// the stop and the start, and the start would fail with EADDRINUSE.
var hosts atomic.Int32

// start opens the socket. After a stop, the source keeps its address.
func (s *fakeSource) start(t *testing.T) {
	address := s.address
	if address == "" {
		n := hosts.Add(1)
		address = fmt.Sprintf("127.7.%d.%d:0", n/250, 1+n%250)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go s.server.Serve(l)
}

// stop closes the listener and all connections, as the end of a process does.
func (s *fakeSource) stop() {
	s.mu.Lock()
	server := s.server
	s.mu.Unlock()
	server.Close()
}

// set changes the source's faults under its lock.
func (s *fakeSource) set(f func(*fakeSource)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// callCount returns how many calls the source has received.
func (s *fakeSource) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

func (s *fakeSource) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls = append(s.calls, r.URL.RequestURI())
	silent, sliceBytes, override, busy := s.silent, s.sliceBytes, s.override, s.rejections > 0
	if busy {
		s.rejections--
	}
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if busy {
		w.Header().Set("Retry-After", "0.05")
		w.WriteHeader(503)
		return
	}
	if override != nil {
		if body := override(r); body != "" {
			fmt.Fprint(w, body)
			return
		}
	}
	s.log.answer(w, r, sliceBytes)
}

// answer answers a call from the log as a relay does, and waits for a new version if the reader has the newest one.
func (l *sharedLog) answer(w http.ResponseWriter, r *http.Request, sliceBytes int) {
	number := func(key string) int64 {
		n, _ := strconv.ParseInt(r.URL.Query().Get(key), 10, 64)
		return n
	}
	cursor := versionlog.Cursor{Version: versionlog.Version{Epoch: number("epoch"), Index: number("from")},
		Base: number("base"), NewestIndex: number("head")}
	end := time.After(time.Duration(number("hold_ms")) * time.Millisecond)
	for {
		l.mu.Lock()
		changed := l.changed
		if l.log.Behind(cursor) {
			l.mu.Unlock()
			w.WriteHeader(409)
			return
		}
		slice := l.log.Read(cursor, sliceBytes)
		l.mu.Unlock()
		if len(slice.Entries) == 0 && slice.Version == cursor.Version {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end:
			}
		}
		w.Write(slice.AppendJSON(nil))
		return
	}
}
