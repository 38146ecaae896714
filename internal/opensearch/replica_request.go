package opensearch

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/textproto"
	"net/url"

	"harepass/internal/core"
	"harepass/internal/decide/retry"
	"harepass/internal/http1"
)

// requestFor words an attempt to a replica at an address, with the time that is left as the request's time-out. A query
// of another front goes to the index of its class; ok is false where no index has the class.
func (caller *Caller) requestFor(at *core.Attempt, address string) (req *http1.Message, ok bool) {
	switch origin := at.Origin.(type) {
	case *search:
		req = searchRequest(origin.index, at, origin.bodyFor(at))
	case *report:
		req = reportRequest(origin, at)
	default:
		if req, ok = caller.translate(at); !ok {
			return nil, false
		}
	}
	req.Header.Set("Host", address)
	if at.IdempotencyKey != "" {
		req.Header.Set(retry.IdempotencyKeyHeader, at.IdempotencyKey)
	}
	return req, true
}

// bodyFor returns the body of an attempt, by its phase.
func (s *search) bodyFor(at *core.Attempt) []byte {
	switch {
	case at.FirstPhase:
		return s.firstPhaseBody
	case at.WithVersion:
		return s.versionedBody
	}
	return s.body
}

// translate words an attempt of a query that came from another front.
func (caller *Caller) translate(at *core.Attempt) (req *http1.Message, ok bool) {
	ix := caller.Config.indexOfClass(at.Class)
	if ix == nil {
		return nil, false
	}
	filter := string(at.Body)
	if ix.Reports {
		fields := map[string]any{caller.Config.SectionField: at.Shard, "filter": filter}
		document, _ := json.Marshal(fields) // strings and numbers: cannot fail
		r := &report{index: ix, shard: at.Shard, id: at.QueryID, createOnly: true, document: document}
		return reportRequest(r, at), true
	}
	term := map[string]any{"term": map[string]string{"filter": filter}}
	body, _ := json.Marshal(map[string]any{"query": term}) // strings only: cannot fail
	return searchRequest(ix, at, body), true
}

// searchRequest words a search of one shard.
func searchRequest(ix *Index, at *core.Attempt, body []byte) *http1.Message {
	const target = "/%s/_search?preference=_shards:%d&allow_partial_search_results=false&timeout=%dms"
	return jsonRequest(http.MethodPost,
		fmt.Sprintf(target, url.PathEscape(ix.name), at.Shard, remainingMillis(at)), body)
}

// reportRequest words the storing of a document.
func reportRequest(r *report, at *core.Attempt) *http1.Message {
	operation := "_doc"
	if r.createOnly {
		operation = "_create"
	}
	const target = "/%s/%s/%s?routing=%d&timeout=%dms"
	return jsonRequest(http.MethodPut, fmt.Sprintf(target, url.PathEscape(r.index.name), operation,
		url.PathEscape(r.id), r.shard, remainingMillis(at)), r.document)
}

// remainingMillis is what is left of an attempt's time-out, in milliseconds; at least 1, as the API knows no less.
func remainingMillis(at *core.Attempt) int64 { return max(1, at.Remaining().Milliseconds()) }

func jsonRequest(method, target string, body []byte) *http1.Message {
	header := textproto.MIMEHeader{"Content-Type": {"application/json"}}
	return &http1.Message{Method: method, Target: target, Body: body, Header: header}
}
