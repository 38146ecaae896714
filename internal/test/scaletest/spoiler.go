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

// spoiler stands between members and a relay and spoils answers of status 200.
type corruptingProxy struct {
	listener net.Listener
	proxy    *httputil.ReverseProxy

	mu           sync.Mutex
	corruption   string            // one of Spoils; empty for none
	savedAnswers map[string][]byte // the last answer with entries by path, before the present way of spoiling
	corrupted    int
}

// The ways in which answers are spoilt.
const (
	corruptGarbled    = "garbled"
	corruptOversized  = "oversized"
	corruptOutOfOrder = "out-of-order"
	corruptReplayed   = "replayed"
)

// Spoils lists them.
var Corruptions = []string{corruptGarbled, corruptOversized, corruptOutOfOrder, corruptReplayed}

// paddingBytes makes an answer larger than any that is allowed.
const paddingBytes = 1 << 20

// newSpoiler opens one before a server.
func newCorruptingProxy(address string) (*corruptingProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &corruptingProxy{listener: l, savedAnswers: map[string][]byte{}}
	s.proxy = httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	s.proxy.ModifyResponse = s.modifyResponse
	s.proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) }
	go http.Serve(l, s.proxy)
	return s, nil
}

func (s *corruptingProxy) address() string { return s.listener.Addr().String() }

func (s *corruptingProxy) close() { s.listener.Close() }

// become sets how answers are spoilt from now on.
func (s *corruptingProxy) setCorruption(how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.corruption = how; how != "" {
		s.corrupted = 0
	}
}

// count is how many answers were spoilt in the last way.
func (s *corruptingProxy) corruptedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.corrupted
}

// modify spoils an answer.
func (s *corruptingProxy) modifyResponse(answer *http.Response) error {
	if answer.StatusCode != http.StatusOK {
		return nil
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	body = s.corrupt(answer.Request.URL.Path, body)
	answer.Body = io.NopCloser(bytes.NewReader(body))
	answer.ContentLength = int64(len(body))
	answer.Header.Set("Content-Length", strconv.Itoa(len(body)))
	return nil
}

func (s *corruptingProxy) corrupt(path string, body []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	spoilt := body
	switch s.corruption {
	case corruptGarbled:
		spoilt = append(slices.Clone(body[:len(body)/2]), "\x00{{"...)
	case corruptOversized:
		spoilt = append(bytes.Repeat([]byte(" "), paddingBytes), body...)
	case corruptOutOfOrder:
		spoilt = reverseEntries(body)
	case corruptReplayed:
		if old, known := s.savedAnswers[path]; known {
			spoilt = old
		}
	default:
		if countEntries(body) > 0 {
			s.savedAnswers[path] = body
		}
	}
	if !bytes.Equal(spoilt, body) {
		s.corrupted++
	}
	return spoilt
}

// generic is an answer whatever it holds.
type jsonObject map[string]json.RawMessage

func countEntries(body []byte) int {
	var answer struct {
		Endpoints []json.RawMessage `json:"endpoints"`
	}
	json.Unmarshal(body, &answer)
	return len(answer.Endpoints)
}

// reversed has the entries in the wrong order or, where there are too few for that, an index that goes back.
func reverseEntries(body []byte) []byte {
	var answer jsonObject
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
		answer["index"] = strconv.AppendInt(nil, max(0, index-2), 10)
	}
	spoilt, err := json.Marshal(answer)
	if err != nil {
		return body
	}
	return spoilt
}
