package scaletest

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"slices"
	"strconv"
	"sync"
)

// The ways in which answers are corrupted, as plans name them.
const (
	corruptGarbled    = "garbled"      // half an answer, then bytes that are no JSON
	corruptOversized  = "oversized"    // larger than any answer may be
	corruptOutOfOrder = "out-of-order" // entries in the wrong order, or an index that goes back
	corruptReplayed   = "replayed"     // the last answer with entries from before the corruption
)

// Corruptions are the values of Fault.CorruptAnswers besides the empty one.
var Corruptions = []string{corruptGarbled, corruptOversized, corruptOutOfOrder, corruptReplayed}

// paddingBytes is what is added to an answer to make it larger than any may be.
const paddingBytes = 1 << 20

// indexSetback is how far the index of an answer goes back that has too few entries to be out of order.
const indexSetback = 2

// corruptingProxy stands between members and a relay and corrupts answers of status 200. Its methods may be called by
// any goroutine.
type corruptingProxy struct {
	listener net.Listener
	proxy    *httputil.ReverseProxy

	mu           sync.Mutex
	corruption   string            // one of Corruptions, or empty
	savedAnswers map[string][]byte // by path: the last with entries while nothing was corrupted
	corrupted    int               // answers since the latest corruption began
}

// newCorruptingProxy opens a proxy before a relay, which passes everything on as it is.
func newCorruptingProxy(relay string) (*corruptingProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &corruptingProxy{listener: listener, savedAnswers: map[string][]byte{}}
	p.proxy = httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: relay})
	p.proxy.ModifyResponse = p.modifyResponse
	p.proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) {
		w.WriteHeader(http.StatusBadGateway)
	}
	go http.Serve(listener, p.proxy) // ends when close closes the listener
	return p, nil
}

func (p *corruptingProxy) address() string { return p.listener.Addr().String() }

func (p *corruptingProxy) close() { p.listener.Close() }

// setCorruption sets how answers are corrupted from now on, and counts anew; empty passes them on and leaves the count.
func (p *corruptingProxy) setCorruption(corruption string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.corruption = corruption; corruption != "" {
		p.corrupted = 0
	}
}

// corruptedCount is how many answers have been corrupted since the latest corruption began.
func (p *corruptingProxy) corruptedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.corrupted
}

// modifyResponse replaces the body of an answer of status 200.
func (p *corruptingProxy) modifyResponse(answer *http.Response) error {
	if answer.StatusCode != http.StatusOK {
		return nil
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	body = p.corrupt(answer.Request.URL.Path, body)
	answer.Body = io.NopCloser(bytes.NewReader(body))
	answer.ContentLength = int64(len(body))
	answer.Header.Set("Content-Length", strconv.Itoa(len(body)))
	return nil
}

// corrupt returns the body that a path's answer has instead.
func (p *corruptingProxy) corrupt(path string, body []byte) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	result := body
	switch p.corruption {
	case corruptGarbled:
		result = append(slices.Clone(body[:len(body)/2]), "\x00{{"...)
	case corruptOversized:
		result = append(bytes.Repeat([]byte(" "), paddingBytes), body...)
	case corruptOutOfOrder:
		result = reverseEntries(body)
	case corruptReplayed:
		if saved, ok := p.savedAnswers[path]; ok {
			result = saved
		}
	default:
		if countEntries(body) > 0 {
			p.savedAnswers[path] = body
		}
	}
	if !bytes.Equal(result, body) {
		p.corrupted++
	}
	return result
}

// countEntries is how many entries an answer has.
func countEntries(body []byte) int {
	var answer struct {
		Endpoints []json.RawMessage `json:"endpoints"`
	}
	json.Unmarshal(body, &answer)
	return len(answer.Endpoints)
}

// reverseEntries returns an answer with its entries in reverse order or, where it has fewer than two, with an index
// that goes back.
func reverseEntries(body []byte) []byte {
	var answer map[string]json.RawMessage
	if json.Unmarshal(body, &answer) != nil {
		return body
	}
	var entries []json.RawMessage
	var index int64
	json.Unmarshal(answer["endpoints"], &entries)
	json.Unmarshal(answer["index"], &index)
	if len(entries) > 1 {
		slices.Reverse(entries)
		answer["endpoints"], _ = json.Marshal(entries)
	} else {
		answer["index"] = strconv.AppendInt(nil, max(0, index-indexSetback), 10)
	}
	result, err := json.Marshal(answer)
	if err != nil {
		return body
	}
	return result
}
