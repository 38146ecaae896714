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

// sharedLog is a version log that several fake sources may give out.
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

// put publishes an entry; one that is terminated is removed.
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

// head returns the newest version.
func (l *sharedLog) head() versionlog.Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.log.Version()
}

// fakeSource is a relay on a loopback socket that gives out a log, with faults.
type fakeSource struct {
	log     *sharedLog
	address string

	mu         sync.Mutex
	server     *http.Server
	calls      []string                            // the request targets, in their order
	silent     bool                                // it accepts calls and never answers
	rejections int                                 // the next calls that are rejected for want of capacity
	sliceBytes int                                 // size limit of the entries of an answer
	override   func(r *http.Request) (body string) // answers instead of the log, unless it returns ""
}

// newFakeSource starts a source of a log; it is stopped when the test ends.
func newFakeSource(t *testing.T, l *sharedLog) *fakeSource {
	s := &fakeSource{log: l, sliceBytes: 60 << 10}
	t.Cleanup(s.stop)
	s.start(t)
	return s
}

// A source that is stopped and started again listens on the port that it had. On an address shared with others an
// outgoing connection may take that port meanwhile, and the start fails with EADDRINUSE. So each source has an
// address of its own.
var hosts atomic.Int32

// start opens the socket. Started again after a stop, the source has its address as before.
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

// stop breaks all connections, as the end of a process does.
func (s *fakeSource) stop() {
	s.mu.Lock()
	server := s.server
	s.mu.Unlock()
	server.Close()
}

// set changes the faults.
func (s *fakeSource) set(f func(*fakeSource)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// callCount returns how many calls have come in.
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

// answer gives out the log as a relay does.
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
