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

// log is a version log that several stand-in sources may share.
type log struct {
	mu      sync.Mutex
	log     *versionlog.Log
	changed chan struct{}
}

func newLog(epoch int64, names ...string) *log {
	l := &log{log: versionlog.New(epoch, 8), changed: make(chan struct{})}
	for _, name := range names {
		l.put(name, "in_service")
	}
	return l
}

// put publishes an entry; one that is terminated is removed.
func (l *log) put(name, status string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	object := fmt.Appendf(nil, `{"name":%q,"address":"127.0.0.1:9","zone":"z","group":0,"status":%q,"since_ms":0}`, name, status)
	if _, err := l.log.Publish([]versionlog.Change{{Name: name, Removed: status == "terminated", Object: object}}); err != nil {
		panic(err)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *log) head() versionlog.Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.log.Head()
}

// source is a stand-in relay on a loopback socket.
type source struct {
	log     *log
	address string

	mu       sync.Mutex
	server   *http.Server
	calls    []string
	silent   bool                                // takes calls and never answers
	busy     int                                 // so many calls are refused for want of capacity
	bytes    int                                 // of entries in a slice
	override func(r *http.Request) (body string) // answers instead of the log, unless it returns ""
}

func newSource(t *testing.T, l *log) *source {
	s := &source{log: l, bytes: 60 << 10}
	t.Cleanup(s.stop)
	s.start(t)
	return s
}

// hosts counts the loopback addresses of sources: each has one of its own, where no connection of others takes its port
// while it is stopped.
var hosts atomic.Int32

// start opens the socket, the second time at the same address.
func (s *source) start(t *testing.T) {
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

// stop is the end of the process: all connections break.
func (s *source) stop() {
	s.mu.Lock()
	server := s.server
	s.mu.Unlock()
	server.Close()
}

func (s *source) set(f func(*source)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// called is how many calls came in.
func (s *source) called() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

func (s *source) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls = append(s.calls, r.URL.RequestURI())
	silent, bytes, override, busy := s.silent, s.bytes, s.override, s.busy > 0
	if busy {
		s.busy--
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
	s.log.answer(w, r, bytes)
}

// answer is a relay's, by the log.
func (l *log) answer(w http.ResponseWriter, r *http.Request, bytes int) {
	number := func(key string) int64 {
		n, _ := strconv.ParseInt(r.URL.Query().Get(key), 10, 64)
		return n
	}
	cursor := versionlog.Cursor{Version: versionlog.Version{Epoch: number("epoch"), Index: number("from")}, Base: number("base"), Head: number("head")}
	end := time.After(time.Duration(number("hold_ms")) * time.Millisecond)
	for {
		l.mu.Lock()
		changed := l.changed
		if l.log.Behind(cursor) {
			l.mu.Unlock()
			w.WriteHeader(409)
			return
		}
		slice := l.log.Read(cursor, bytes)
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
