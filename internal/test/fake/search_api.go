package fake

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Bodies of the API's answers.
const (
	searchResult = `{"took":1,"timed_out":false,"_shards":{"total":1,"successful":1,"skipped":0,"failed":0},` +
		`"hits":{"total":{"value":1,"relation":"eq"},"max_score":1.0,"hits":[{"_index":%q,"_id":"d%d","_score":1.0,` +
		`"_source":{"section":%d,"body":"v%d"}}]}}`
	indexResult = `{"_index":%q,"_id":%q,"_version":1,"result":"created",` +
		`"_shards":{"total":1,"successful":1,"failed":0},"_seq_no":3,"_primary_term":1}`
	truncatedResult = `{"took":1,"timed_out":false,"_shards":{"to`
	noGeoFieldError = `{"error":{"type":"query_shard_exception","reason":"failed to find geo field"},"status":400}`
	noPinError      = `{"error":{"type":"mapper_parsing_exception","reason":"failed to parse field [pin]"},` +
		`"status":400}`
	malformedError   = `{"error":{"type":"parsing_exception","reason":"malformed"},"status":400}`
	executionFailure = `{"error":{"type":"exception","reason":"failed"},"status":500}`
	rejectionError   = `{"error":{"type":"rejected_execution_exception","reason":"queue full"},"status":429}`
)

// ServeAPI serves the search and index APIs until the listener is closed. Connections accepted by then stay open.
func (r *Replicas) ServeAPI(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{index}/_search", r.handleSearch)
	mux.HandleFunc("PUT /{index}/{op}/{id}", r.handleIndex)
	http.Serve(l, mux)
}

// handleSearch answers a search of one shard. A geo_shape query fails, because the documents have no geo field. A
// preference without a readable shard gets the same error.
func (r *Replicas) handleSearch(w http.ResponseWriter, req *http.Request) {
	shard, err := strconv.Atoi(strings.TrimPrefix(req.URL.Query().Get("preference"), "_shards:"))
	body, _ := io.ReadAll(req.Body)
	if err != nil || strings.Contains(string(body), "geo_shape") {
		w.WriteHeader(http.StatusBadRequest)
		io.WriteString(w, noGeoFieldError)
		return
	}
	index := req.PathValue("index")
	r.respond(w, req, shard, http.StatusOK, func() string {
		if r.Data != nil {
			return r.search(req.Context().Done(), index, shard, body)
		}
		return fmt.Sprintf(searchResult, index, shard, shard, shard)
	})
}

// handleIndex stores a document in a shard, and does so before the script decides: with Data, even a rejected or failed
// request leaves its document. An unreadable document and an unreadable routing get the same error.
func (r *Replicas) handleIndex(w http.ResponseWriter, req *http.Request) {
	var doc struct {
		Pin string `json:"pin"`
	}
	shard, err := strconv.Atoi(req.URL.Query().Get("routing"))
	if err != nil || json.NewDecoder(req.Body).Decode(&doc) != nil {
		w.WriteHeader(http.StatusBadRequest)
		io.WriteString(w, noPinError)
		return
	}
	index, id := req.PathValue("index"), req.PathValue("id")
	if r.Data != nil {
		r.Data.Put(shard, Document{ID: id, Fields: map[string]any{"pin": doc.Pin}})
	}
	r.respond(w, req, shard, http.StatusCreated, func() string { return fmt.Sprintf(indexResult, index, id) })
}

// respond records a request and answers it as the script decides. A request that is served gets status and the body
// that serve returns.
func (r *Replicas) respond(w http.ResponseWriter, req *http.Request, shard, status int, serve func() string) {
	io.Copy(io.Discard, req.Body) // what handleIndex left; a client that leaves is detected only after the body is read
	request := req.Method + " " + req.URL.String()
	if keys := req.Header.Values("Idempotency-Key"); len(keys) > 0 {
		request += " key=" + strings.Join(keys, ",")
	}
	reply := r.receive(shard, request)
	if reply.Kind == NoReply {
		<-req.Context().Done()
		return
	}
	select {
	case <-time.After(reply.After):
	case <-req.Context().Done():
		return
	}
	body := ""
	switch reply.Kind {
	case Serve:
		body = serve()
	case Corrupt:
		body = truncatedResult
	case Disconnect:
		panic(http.ErrAbortHandler)
	case Fail:
		status, body = http.StatusInternalServerError, executionFailure
	case Reject:
		status, body = http.StatusTooManyRequests, rejectionError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	io.WriteString(w, body)
}
