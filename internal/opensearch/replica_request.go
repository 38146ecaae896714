package opensearch

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/textproto"
	"net/url"

	"harepass/internal/core"
	"harepass/internal/counters"
	"harepass/internal/decide/retry"
	"harepass/internal/http1"
	"harepass/internal/logmsg"
)

// requestFor builds the request that sends an attempt to a replica's address, with the attempt's remaining time as the
// request's time-out. A query from another front goes to the index of its class. If no index has the class, ok is
// false: the attempt ends as NotSent, as does every attempt of that class at replicas that offer the API. reportNoIndex
// counts each such attempt and logs the first one of each class. The remedy is an index of that class in the
// configuration file.
func (caller *Caller) requestFor(at *core.Attempt, address string) (req *http1.Message, ok bool) {
	switch origin := at.Origin.(type) {
	case *search:
		req = searchRequest(origin.index, at, origin.bodyFor(at))
	case *document:
		req = documentRequest(origin, at)
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

// bodyFor returns the body for an attempt's phase.
func (s *search) bodyFor(at *core.Attempt) []byte {
	switch {
	case at.FirstPhase:
		return s.firstPhaseBody
	case at.WithVersion:
		return s.versionedBody
	}
	return s.body
}

// translate builds the request of an attempt whose query came from another front.
func (caller *Caller) translate(at *core.Attempt) (req *http1.Message, ok bool) {
	ix := caller.Config.indexOfClass(at.Class)
	if ix == nil {
		caller.reportNoIndex(at.Class)
		return nil, false
	}
	filter := string(at.Body)
	if ix.TakesDocuments {
		fields := map[string]any{caller.Config.SectionField: at.Shard, "filter": filter}
		source, _ := json.Marshal(fields) // strings and numbers: cannot fail
		doc := &document{index: ix, shard: at.Shard, id: at.QueryID, createOnly: true, source: source}
		return documentRequest(doc, at), true
	}
	term := map[string]any{"term": map[string]string{"filter": filter}}
	body, _ := json.Marshal(map[string]any{"query": term}) // strings only: cannot fail
	return searchRequest(ix, at, body), true
}

// attemptsWithoutIndex counts the attempts that were not sent because no index has their class.
var attemptsWithoutIndex = counters.New("attempts_withheld", "no_index")

// reportNoIndex counts an attempt that cannot be sent because no index has its class, and logs the first one of each
// class.
func (caller *Caller) reportNoIndex(class string) {
	attemptsWithoutIndex.Inc()
	caller.mu.Lock()
	known := caller.withoutIndex[class]
	if caller.withoutIndex == nil {
		caller.withoutIndex = map[string]bool{}
	}
	caller.withoutIndex[class] = true
	caller.mu.Unlock()
	if !known {
		slog.Warn(logmsg.ClassWithoutIndex, "class", class)
	}
}

// searchRequest builds a search of one shard.
func searchRequest(ix *Index, at *core.Attempt, body []byte) *http1.Message {
	const target = "/%s/_search?preference=_shards:%d&allow_partial_search_results=false&timeout=%dms"
	return jsonRequest(http.MethodPost,
		fmt.Sprintf(target, url.PathEscape(ix.name), at.Shard, remainingMillis(at)), body)
}

// documentRequest builds the request that stores a document.
func documentRequest(doc *document, at *core.Attempt) *http1.Message {
	operation := "_doc"
	if doc.createOnly {
		operation = "_create"
	}
	const target = "/%s/%s/%s?routing=%d&timeout=%dms"
	return jsonRequest(http.MethodPut, fmt.Sprintf(target, url.PathEscape(doc.index.name), operation,
		url.PathEscape(doc.id), doc.shard, remainingMillis(at)), doc.source)
}

// remainingMillis returns the remaining time of an attempt in milliseconds; at least 1, the API's minimum.
func remainingMillis(at *core.Attempt) int64 { return max(1, at.Remaining().Milliseconds()) }

func jsonRequest(method, target string, body []byte) *http1.Message {
	header := textproto.MIMEHeader{"Content-Type": {"application/json"}}
	return &http1.Message{Method: method, Target: target, Body: body, Header: header}
}
