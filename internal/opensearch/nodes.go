package opensearch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/textproto"
	"net/url"
	"sync"
	"syscall"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/retry"
	"harepass/internal/decide/scatter"
	"harepass/internal/http1"
)

// Scheme names the nodes that offer the API.
const Scheme = "opensearch"

const (
	perNode   = 16      // connections to a node; one carries one request at a time
	nodeBody  = 1 << 20 // bytes of a node's answer
	idleShare = 0.8     // of the time after which nodes close idle connections: later ones are not trusted
)

// Caller calls map nodes that offer the API. It is a core.Caller.
type Caller struct {
	Reporter       core.AttemptReporter
	Config         *Config
	MaxConns       int // connections held at once; 0 for no limit
	ConnectTimeout time.Duration
	KeepAlive      time.Duration
	Dial           http1.Dialer // nil for plain TCP

	mu    sync.Mutex
	slots chan struct{} // one taken for each connection in use; as many may be idle
	idle  int
	nodes map[string]*node
	sends map[*core.Attempt]context.CancelFunc
}

type node struct {
	slots chan struct{} // one taken for each connection in use
	idle  []idleConn    // the last used last
}

type idleConn struct {
	client *http1.Client
	since  time.Time
}

// Call implements core.Caller. The API has no call of several parts: each has a request of its own.
func (n *Caller) Call(to core.Endpoint, attempts []*core.Attempt) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.nodes == nil {
		n.nodes, n.sends = map[string]*node{}, map[*core.Attempt]context.CancelFunc{}
		if n.MaxConns > 0 {
			n.slots = make(chan struct{}, max(1, n.MaxConns/2))
		}
	}
	nd := n.nodes[to.ID]
	if nd == nil {
		nd = &node{slots: make(chan struct{}, perNode)}
		n.nodes[to.ID] = nd
	}
	for _, at := range attempts {
		ctx, cancel := context.WithCancel(context.Background())
		n.sends[at] = cancel
		go func() {
			outcome, value := n.send(ctx, nd, to, at)
			n.mu.Lock()
			delete(n.sends, at)
			n.mu.Unlock()
			cancel()
			n.Reporter.AttemptEnded(at, outcome, value)
		}()
	}
}

// Cancel implements core.Caller. The API cannot take a request back: its connection is closed.
func (n *Caller) Cancel(at *core.Attempt) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cancel := n.sends[at]; cancel != nil {
		cancel()
	}
}

// CloseIdleConnections implements core.Caller. The node is forgotten: it may be gone.
func (n *Caller) CloseIdleConnections(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if nd := n.nodes[id]; nd != nil {
		for _, c := range nd.idle {
			c.client.Close()
		}
		n.idle -= len(nd.idle)
		nd.idle = nil
		delete(n.nodes, id)
	}
}

// keep holds a connection for the next request, unless its node is forgotten or there are enough.
func (n *Caller) keep(nd *node, id string, c *http1.Client) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.nodes[id] != nd || n.slots != nil && n.idle >= cap(n.slots) {
		c.Close()
		return
	}
	nd.idle = append(nd.idle, idleConn{c, time.Now()})
	n.idle++
}

// Close ends all idle connections.
func (n *Caller) Close() {
	n.mu.Lock()
	var ids []string
	for id := range n.nodes {
		ids = append(ids, id)
	}
	n.mu.Unlock()
	for _, id := range ids {
		n.CloseIdleConnections(id)
	}
}

// send makes one request and tells how it ended.
func (n *Caller) send(ctx context.Context, nd *node, to core.Endpoint, at *core.Attempt) (scatter.Outcome, []byte) {
	for _, slots := range []chan struct{}{nd.slots, n.slots} {
		if slots == nil {
			continue
		}
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		case <-ctx.Done():
			return scatter.NotSent, nil
		}
	}
	c, err := n.connect(ctx, nd, to.Address)
	if err != nil {
		if ctx.Err() != nil || errors.Is(err, syscall.EMFILE) { // which tells of us, not of the node
			return scatter.NotSent, nil
		}
		return scatter.ConnectFailed, nil
	}
	req, ok := n.request(at) // only now, for it tells the time that is left
	if !ok || !at.Begin() {
		n.keep(nd, to.ID, c)
		return scatter.NotSent, nil
	}
	req.Header.Set("Host", to.Address)
	if at.IdempotencyKey != "" {
		req.Header.Set(retry.IdempotencyKeyHeader, at.IdempotencyKey)
	}
	m, written, err := c.Do(ctx, req)
	var spoilt *http1.Error
	switch {
	case err != nil && ctx.Err() != nil:
		return scatter.Cancelled, nil
	case errors.As(err, &spoilt): // the node runs and has answered, if not to be read: no broken connection
		return scatter.Errored, nil
	case err != nil && !written:
		return scatter.ConnectFailed, nil
	case err != nil:
		return scatter.ConnectionReset, nil
	}
	n.keep(nd, to.ID, c)
	if !at.FirstPhase && !at.WithVersion {
		return outcome(m, at.Origin != nil)
	}
	at.Evidence = evidence(m)
	if at.FirstPhase && m.Status == 400 { // what is wrong with the request, if the client's, its full form will tell
		return scatter.Succeeded, nil
	}
	return outcome(m, false)
}

// connect takes an idle connection that still stands, or opens one.
func (n *Caller) connect(ctx context.Context, nd *node, address string) (*http1.Client, error) {
	for {
		n.mu.Lock()
		last := len(nd.idle) - 1
		if last < 0 {
			n.mu.Unlock()
			break
		}
		c := nd.idle[last]
		nd.idle = nd.idle[:last]
		n.idle--
		n.mu.Unlock()
		if c.client.Address == address && time.Since(c.since) < time.Duration(float64(n.KeepAlive)*idleShare) && c.client.Alive() {
			return c.client, nil
		}
		c.client.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, n.ConnectTimeout)
	defer cancel()
	c := &http1.Client{Address: address, Dial: n.Dial,
		Limits: http1.Limits{Head: http1.DefaultLimits.Head, Body: nodeBody}}
	return c, c.Connect(ctx)
}

// request words an attempt; a query of another front goes to the index of its class.
func (n *Caller) request(at *core.Attempt) (*http1.Message, bool) {
	switch q := at.Origin.(type) {
	case *search:
		switch {
		case at.FirstPhase:
			return searchRequest(q.index, at, q.first), true
		case at.WithVersion:
			return searchRequest(q.index, at, q.signed), true
		}
		return searchRequest(q.index, at, q.body), true
	case *report:
		return reportRequest(q, at), true
	}
	ix := n.Config.ofClass(at.Class)
	if ix == nil {
		return nil, false
	}
	if ix.Reports {
		doc, _ := json.Marshal(map[string]any{n.Config.SectionField: at.Shard, "filter": string(at.Body)}) // cannot fail
		return reportRequest(&report{index: ix, section: at.Shard, id: at.QueryID, create: true, doc: doc}, at), true
	}
	body, _ := json.Marshal(map[string]any{"query": map[string]any{"term": map[string]string{"filter": string(at.Body)}}}) // cannot fail
	return searchRequest(ix, at, body), true
}

func searchRequest(ix *Index, at *core.Attempt, body []byte) *http1.Message {
	return request("POST", fmt.Sprintf("/%s/_search?preference=_shards:%d&allow_partial_search_results=false&timeout=%dms",
		url.PathEscape(ix.name), at.Shard, max(1, at.Remaining().Milliseconds())), body)
}

func reportRequest(r *report, at *core.Attempt) *http1.Message {
	op := "_doc"
	if r.create {
		op = "_create"
	}
	return request("PUT", fmt.Sprintf("/%s/%s/%s?routing=%d&timeout=%dms",
		url.PathEscape(r.index.name), op, url.PathEscape(r.id), r.section, max(1, at.Remaining().Milliseconds())), r.doc)
}

func request(method, target string, body []byte) *http1.Message {
	return &http1.Message{Method: method, Target: target, Body: body,
		Header: textproto.MIMEHeader{"Content-Type": {"application/json"}}}
}

// rejections are the errors that say that a thread pool's queue was full, so that the request never began.
// Other errors with status 429, a tripped circuit breaker for one, can come when part of it has run.
var rejections = map[string]bool{"rejected_execution_exception": true, "es_rejected_execution_exception": true,
	"opensearch_rejected_execution_exception": true}

// outcome reads a node's answer. A search answer that the node itself does not call whole is none. What a
// node finds wrong with a client's own request is its final word: other nodes would find the same.
func outcome(m *http1.Message, own bool) (scatter.Outcome, []byte) {
	var body struct {
		Error struct {
			Type string `json:"type"`
		} `json:"error"`
		TimedOut bool            `json:"timed_out"`
		Shards   *shards         `json:"_shards"`
		Hits     json.RawMessage `json:"hits"`
		Result   string          `json:"result"`
	}
	bad := json.Unmarshal(m.Body, &body) != nil
	switch {
	case bad:
	case m.Status == 429 && rejections[body.Error.Type]:
		return scatter.Rejected, nil
	case m.Status == 409 && body.Error.Type == "version_conflict_engine_exception":
		return scatter.Succeeded, m.Body // the document is there
	case own && m.Status == 400 && body.Error.Type != "":
		return scatter.Succeeded, m.Body
	case (m.Status == 200 || m.Status == 201) && body.Result != "":
		return scatter.Succeeded, m.Body
	case m.Status == 200 && len(body.Hits) > 0 && !body.TimedOut && body.Shards != nil && body.Shards.Failed == 0:
		return scatter.Succeeded, body.Hits
	}
	return scatter.Errored, nil
}
