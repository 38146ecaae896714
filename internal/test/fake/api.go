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

// API serves the search and index APIs until the listener is closed.
func (f *Fleet) API(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{index}/_search", func(w http.ResponseWriter, r *http.Request) {
		shard, err := strconv.Atoi(strings.TrimPrefix(r.URL.Query().Get("preference"), "_shards:"))
		body, _ := io.ReadAll(r.Body)
		if err != nil || strings.Contains(string(body), "geo_shape") { // it has no such field
			w.WriteHeader(400)
			io.WriteString(w, `{"error":{"type":"query_shard_exception","reason":"failed to find geo field"},"status":400}`)
			return
		}
		if f.Data != nil {
			f.api(w, r, shard, 200, func() string { return f.search(r.Context().Done(), r.PathValue("index"), shard, body) })
			return
		}
		f.api(w, r, shard, 200, canned(`{"took":1,"timed_out":false,"_shards":{"total":1,"successful":1,"skipped":0,"failed":0},`+
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
		if f.Data != nil {
			f.Data.Put(shard, Doc{ID: r.PathValue("id"), Fields: map[string]any{"pin": doc.Pin}})
		}
		f.api(w, r, shard, 201, canned(`{"_index":%q,"_id":%q,"_version":1,"result":"created",`+
			`"_shards":{"total":1,"successful":1,"failed":0},"_seq_no":3,"_primary_term":1}`, r.PathValue("index"), r.PathValue("id")))
	})
	http.Serve(l, mux)
}

func canned(format string, args ...any) func() string {
	text := fmt.Sprintf(format, args...)
	return func() string { return text }
}

func (f *Fleet) api(w http.ResponseWriter, r *http.Request, shard, status int, serve func() string) {
	io.Copy(io.Discard, r.Body) // only then does the server notice a client that leaves
	what := r.Method + " " + r.URL.String()
	if key := r.Header.Values("Idempotency-Key"); len(key) > 0 {
		what += " key=" + strings.Join(key, ",")
	}
	reply := f.take(shard, what)
	if reply.Kind == Silent {
		<-r.Context().Done()
		return
	}
	select {
	case <-time.After(reply.After):
	case <-r.Context().Done():
		return
	}
	body := ""
	switch reply.Kind {
	case Serve:
		body = serve()
	case Spoil:
		body = `{"took":1,"timed_out":false,"_shards":{"to`
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
