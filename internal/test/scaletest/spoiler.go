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
type spoiler struct {
	listener net.Listener
	proxy    *httputil.ReverseProxy

	mu     sync.Mutex
	how    string            // one of Spoils; empty for none
	kept   map[string][]byte // the last answer with entries by path, before the present way of spoiling
	spoilt int
}

// The ways in which answers are spoilt.
const (
	garbled    = "garbled"
	oversized  = "oversized"
	outOfOrder = "out-of-order"
	replayed   = "replayed"
)

// Spoils lists them.
var Spoils = []string{garbled, oversized, outOfOrder, replayed}

// paddingBytes makes an answer larger than any that is allowed.
const paddingBytes = 1 << 20

// newSpoiler opens one before a server.
func newSpoiler(address string) (*spoiler, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &spoiler{listener: l, kept: map[string][]byte{}}
	s.proxy = httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	s.proxy.ModifyResponse = s.modify
	s.proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) }
	go http.Serve(l, s.proxy)
	return s, nil
}

func (s *spoiler) address() string { return s.listener.Addr().String() }

func (s *spoiler) close() { s.listener.Close() }

// become sets how answers are spoilt from now on.
func (s *spoiler) become(how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.how = how; how != "" {
		s.spoilt = 0
	}
}

// count is how many answers were spoilt in the last way.
func (s *spoiler) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spoilt
}

// modify spoils an answer.
func (s *spoiler) modify(answer *http.Response) error {
	if answer.StatusCode != http.StatusOK {
		return nil
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	body = s.spoil(answer.Request.URL.Path, body)
	answer.Body = io.NopCloser(bytes.NewReader(body))
	answer.ContentLength = int64(len(body))
	answer.Header.Set("Content-Length", strconv.Itoa(len(body)))
	return nil
}

func (s *spoiler) spoil(path string, body []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	spoilt := body
	switch s.how {
	case garbled:
		spoilt = append(slices.Clone(body[:len(body)/2]), "\x00{{"...)
	case oversized:
		spoilt = append(bytes.Repeat([]byte(" "), paddingBytes), body...)
	case outOfOrder:
		spoilt = reversed(body)
	case replayed:
		if old, known := s.kept[path]; known {
			spoilt = old
		}
	default:
		if entriesOf(body) > 0 {
			s.kept[path] = body
		}
	}
	if !bytes.Equal(spoilt, body) {
		s.spoilt++
	}
	return spoilt
}

// generic is an answer whatever it holds.
type generic map[string]json.RawMessage

func entriesOf(body []byte) int {
	var answer struct {
		Endpoints []json.RawMessage `json:"endpoints"`
	}
	json.Unmarshal(body, &answer)
	return len(answer.Endpoints)
}

// reversed has the entries in the wrong order or, where there are too few for that, an index that goes back.
func reversed(body []byte) []byte {
	var answer generic
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
