// Package standin has the stand-ins that tests use for outside systems: nodes that speak the platform's
// frames, nodes that offer the OpenSearch search and index APIs, and discovery. They are written from the
// public descriptions of what they stand for, share no code with the program and are linked into tests only.
package standin

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Kind is what a node does with a part.
type Kind int

// The kinds.
const (
	Serve  Kind = iota
	Fail        // an error after it began
	Reject      // turned away unseen
	Silent      // taken and never answered
	Break       // the connection breaks after it was taken
)

// Reply is a kind and when it comes.
type Reply struct {
	Kind  Kind
	After time.Duration
}

// Fleet is the nodes' common script and record.
type Fleet struct {
	Script func(shard, try int) Reply // try counts from 0 over all nodes

	mu   sync.Mutex
	asks map[int]int
	runs map[int]int
	seen []string
}

// take records that a part was asked for and says what to do with it.
func (f *Fleet) take(shard int, what string) Reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.asks == nil {
		f.asks, f.runs = map[int]int{}, map[int]int{}
	}
	r := f.Script(shard, f.asks[shard])
	f.asks[shard]++
	f.seen = append(f.seen, what)
	if r.Kind != Reject {
		f.runs[shard]++
	}
	return r
}

// Runs is how often parts of a shard were taken to be run.
func (f *Fleet) Runs(shard int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[shard]
}

// Seen is what was asked for, in order.
func (f *Fleet) Seen() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.seen...)
}

// Frames serves data-node frames until the listener is closed.
func (f *Fleet) Frames(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go f.frames(c)
	}
}

func (f *Fleet) frames(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	var mu sync.Mutex
	write := func(rest string) {
		mu.Lock()
		defer mu.Unlock()
		b := binary.LittleEndian.AppendUint32(nil, uint32(len(rest)))
		c.Write(append(b, rest...))
	}
	for {
		var n uint32
		if binary.Read(r, binary.LittleEndian, &n) != nil {
			return
		}
		frame := make([]byte, n)
		if _, err := io.ReadFull(r, frame); err != nil {
			return
		}
		if frame[0] != '1' {
			continue
		}
		line, _, _ := strings.Cut(string(frame[1:]), "\n")
		var id, list string
		var shard, length int
		if _, err := fmt.Sscanf(line, "%s %d %s %d", &id, &shard, &list, &length); err != nil {
			write("Xbad line")
			return
		}
		reply := f.take(shard, line)
		time.AfterFunc(reply.After, func() {
			switch reply.Kind {
			case Serve:
				write(fmt.Sprintf("5%s S 1 -\nv%d", id, shard))
			case Fail:
				write(fmt.Sprintf("5%s E 0 -\n", id))
			case Reject:
				write(fmt.Sprintf("5%s B 0 -\n", id))
			case Break:
				c.Close()
			}
		})
	}
}

// API serves the search and index APIs until the listener is closed.
func (f *Fleet) API(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{index}/_search", func(w http.ResponseWriter, r *http.Request) {
		shard, err := strconv.Atoi(strings.TrimPrefix(r.URL.Query().Get("preference"), "_shards:"))
		if body, _ := io.ReadAll(r.Body); err != nil || strings.Contains(string(body), "geo_shape") { // it has no such field
			w.WriteHeader(400)
			io.WriteString(w, `{"error":{"type":"query_shard_exception","reason":"failed to find geo field"},"status":400}`)
			return
		}
		f.api(w, r, shard, 200, fmt.Sprintf(`{"took":1,"timed_out":false,"_shards":{"total":1,"successful":1,"skipped":0,"failed":0},`+
			`"hits":{"total":{"value":1,"relation":"eq"},"max_score":1.0,"hits":[{"_index":%q,"_id":"d%d","_score":1.0,"_source":{"section":%d,"body":"v%d"}}]}}`,
			r.PathValue("index"), shard, shard, shard))
	})
	mux.HandleFunc("PUT /{index}/{op}/{id}", func(w http.ResponseWriter, r *http.Request) {
		var doc struct {
			Pin string `json:"pin"`
		}
		shard, err := strconv.Atoi(r.URL.Query().Get("routing"))
		if err != nil || json.NewDecoder(r.Body).Decode(&doc) != nil {
			w.WriteHeader(400)
			io.WriteString(w, `{"error":{"type":"mapper_parsing_exception","reason":"failed to parse field [pin]"},"status":400}`)
			return
		}
		f.api(w, r, shard, 201, fmt.Sprintf(`{"_index":%q,"_id":%q,"_version":1,"result":"created",`+
			`"_shards":{"total":1,"successful":1,"failed":0},"_seq_no":3,"_primary_term":1}`, r.PathValue("index"), r.PathValue("id")))
	})
	http.Serve(l, mux)
}

func (f *Fleet) api(w http.ResponseWriter, r *http.Request, shard, status int, body string) {
	io.Copy(io.Discard, r.Body) // only then does the server notice a client that leaves
	reply := f.take(shard, r.Method+" "+r.URL.String())
	if reply.Kind == Silent {
		<-r.Context().Done()
		return
	}
	select {
	case <-time.After(reply.After):
	case <-r.Context().Done():
		return
	}
	switch reply.Kind {
	case Break:
		panic(http.ErrAbortHandler)
	case Fail:
		status, body = 500, `{"error":{"type":"exception","reason":"failed"},"status":500}`
	case Reject:
		status, body = 429, `{"error":{"type":"rejected_execution_exception","reason":"queue full"},"status":429}`
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	io.WriteString(w, body)
}

// Discovery answers each call with the same list; a watch is held for its time.
func Discovery(l net.Listener, list func() string) {
	http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms")); hold > 0 {
			select {
			case <-time.After(time.Duration(hold) * time.Millisecond):
			case <-r.Context().Done():
			}
		}
		io.WriteString(w, list())
	}))
}

// Net is a network in memory, for tests on a clock of their own.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*memListener
}

type memListener struct {
	address string
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Listen opens an address.
func (n *Net) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*memListener{}
	}
	l := &memListener{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dial connects to an address that was opened; others refuse.
func (n *Net) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("connection to %s refused", address)
	}
	here, there := net.Pipe()
	select {
	case l.conns <- there:
		return here, nil
	case <-l.done:
		return nil, fmt.Errorf("connection to %s refused", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *memListener) Addr() net.Addr { return &net.UnixAddr{Name: l.address, Net: "memory"} }
