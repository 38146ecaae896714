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

// Kinds of corruption, under the names that plans use.
const (
	corruptGarbled    = "garbled"      // the first half of the answer, then bytes that are not JSON
	corruptOversized  = "oversized"    // larger than readers accept
	corruptOutOfOrder = "out-of-order" // entries in reverse order, or a lower index, at least 0
	corruptReplayed   = "replayed"     // the last answer with entries before the corruption began
)

// Corruptions lists the non-empty values of Fault.CorruptAnswers.
var Corruptions = []string{corruptGarbled, corruptOversized, corruptOutOfOrder, corruptReplayed}

// paddingBytes is the number of spaces put in front of an answer to make it larger than readers accept.
const paddingBytes = 1 << 20

// indexSetback is subtracted from the index of an answer that has fewer than two entries to reverse.
const indexSetback = 2

// corruptingProxy is a reverse proxy between members and a relay that corrupts answers of status 200. Its methods are
// safe for concurrent use.
type corruptingProxy struct {
	listener net.Listener
	proxy    *httputil.ReverseProxy

	mu           sync.Mutex
	corruption   string            // one of Corruptions, or empty
	savedAnswers map[string][]byte // by path without query: the last answer with entries that was passed on unchanged
	corrupted    int               // answers whose bytes were changed since the latest corruption began
}

// newCorruptingProxy starts a proxy for the relay at an address. Answers pass unchanged until setCorruption is called.
// If the relay cannot be reached or its answer cannot be read, the proxy answers 502 and logs nothing.
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
	go http.Serve(listener, p.proxy) // accepts until close closes the listener; open connections are still served
	return p, nil
}

func (p *corruptingProxy) address() string { return p.listener.Addr().String() }

func (p *corruptingProxy) close() { p.listener.Close() }

// setCorruption selects how answers are corrupted from now on and resets the count. An empty corruption passes answers
// unchanged and keeps the count.
func (p *corruptingProxy) setCorruption(corruption string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.corruption = corruption; corruption != "" {
		p.corrupted = 0
	}
}

// corruptedCount returns how many answers have been changed since the latest corruption began.
func (p *corruptingProxy) corruptedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.corrupted
}

// modifyResponse replaces the body of an answer of status 200 with the result of corrupt.
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

// corrupt returns the body to send instead of body, the relay's answer for path. Without a corruption, it returns the
// body unchanged and saves it for replays if it has entries. A replay without a saved answer leaves the body unchanged.
// An answer counts as corrupted if its bytes differ, which encoding it again can cause by itself.
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

// countEntries returns the number of entries in an answer.
func countEntries(body []byte) int {
	var answer struct {
		Endpoints []json.RawMessage `json:"endpoints"`
	}
	json.Unmarshal(body, &answer)
	return len(answer.Endpoints)
}

// reverseEntries returns an answer with its entries in reverse order, or with its index lowered by indexSetback if it
// has fewer than two entries.
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
