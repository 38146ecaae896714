package opensearch

import (
	"encoding/json"
	"net/url"
	"time"
)

// maxDocumentID is the longest id of a document, in bytes: the API's own limit.
const maxDocumentID = 512

// report is a client's document for an index that takes reports.
type report struct {
	index      *Index
	shard      int           // that stores the document
	id         string        // of the document; empty until the front gives it one
	createOnly bool          // the document may not replace one with the same id
	document   []byte        // as the client sent it
	timeout    time.Duration // that the client gives; 0 for none given
}

// reportParams are the parameters of a report that the front takes. Those that it does not read concern what it has no
// choice in.
var reportParams = []string{"timeout", "routing", "refresh", "op_type", "pretty", "wait_for_active_shards"}

// parseReport reads a report for an index from its path (INDEX/_doc, INDEX/_doc/ID or INDEX/_create/ID), parameters and
// body. Its errors are the client's.
func (c *Config) parseReport(ix *Index, path []string, params url.Values, data []byte) (*report, error) {
	opType := params.Get("op_type")
	r := &report{index: ix, document: data}
	r.createOnly = len(path) == 2 || path[1] == "_create" || opType == "create"
	if len(path) == 3 {
		if r.id = path[2]; r.id == "" || len(r.id) > maxDocumentID {
			return nil, badRequestf(typeRequestValidation, "an id has 1 to %d bytes", maxDocumentID)
		}
	}
	if opType != "" && opType != "create" && (opType != "index" || r.createOnly) {
		return nil, badRequestf(typeIllegalArgument, "opType [%s] is not allowed here", opType)
	}
	var err error
	if r.timeout, err = parseTimeout(params.Get("timeout")); err != nil {
		return nil, err
	}
	if r.shard, err = c.shardOfDocument(ix, params, data); err != nil {
		return nil, err
	}
	return r, nil
}

// shardOfDocument returns the shard that a document's section field or, unless there, the routing parameter names.
func (c *Config) shardOfDocument(ix *Index, params url.Values, data []byte) (shard int, err error) {
	var document map[string]json.RawMessage
	if json.Unmarshal(data, &document) != nil || document == nil {
		return 0, badRequestf(typeMapperParsing, "failed to parse: the document is no JSON object")
	}
	raw := document[c.SectionField]
	if raw == nil {
		raw = json.RawMessage(params.Get("routing"))
	}
	if shard, err = parseSection(raw); err != nil || !ix.holds(shard) {
		return 0, badRequestf(typeMapperParsing, "field [%s] has to be a section from %d to %d",
			c.SectionField, ix.Shards[0], ix.Shards[1])
	}
	return shard, nil
}
