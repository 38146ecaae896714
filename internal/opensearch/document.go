package opensearch

import (
	"encoding/json"
	"net/url"
	"time"
)

// maxDocumentID is the maximum length of a document's id in bytes, the API's own limit.
const maxDocumentID = 512

// document is a client's document for an index that takes documents.
type document struct {
	index      *Index
	shard      int           // shard that stores the document
	id         string        // id of the document; empty until the front assigns one
	createOnly bool          // the document must not replace one with the same id
	source     []byte        // the document's JSON, as the client sent it
	timeout    time.Duration // time-out that the client gave; 0 if it gave none
}

// documentParams are the URL parameters that have an effect on a document; Handle reads pretty.
var documentParams = []string{"timeout", "routing", "op_type", "pretty"}

// ignoredDocumentParams are the URL parameters that clients of the API send with a document by habit. They are accepted
// without effect: the replicas alone decide when a document can be searched, and on how many copies.
var ignoredDocumentParams = []string{"refresh", "wait_for_active_shards"}

// parseDocument parses a document for an index from its path (INDEX/_doc, INDEX/_doc/ID or INDEX/_create/ID),
// parameters and body. Its errors are for the client.
func (c *Config) parseDocument(ix *Index, path []string, params url.Values, data []byte) (*document, error) {
	opType := params.Get("op_type")
	doc := &document{index: ix, source: data}
	doc.createOnly = len(path) == 2 || path[1] == "_create" || opType == "create"
	if len(path) == 3 {
		if doc.id = path[2]; doc.id == "" || len(doc.id) > maxDocumentID {
			return nil, badRequestf(typeRequestValidation, "an id has 1 to %d bytes", maxDocumentID)
		}
	}
	if opType != "" && opType != "create" && (opType != "index" || doc.createOnly) {
		return nil, badRequestf(typeIllegalArgument, "opType [%s] is not allowed here", opType)
	}
	var err error
	if doc.timeout, err = parseTimeout(params.Get("timeout")); err != nil {
		return nil, err
	}
	if doc.shard, err = c.shardOfDocument(ix, params, data); err != nil {
		return nil, err
	}
	return doc, nil
}

// shardOfDocument returns the shard that the document's section field names or, if the document lacks that field, the
// shard that the routing parameter names.
func (c *Config) shardOfDocument(ix *Index, params url.Values, data []byte) (shard int, err error) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil || fields == nil {
		return 0, badRequestf(typeMapperParsing, "failed to parse: the document is no JSON object")
	}
	raw := fields[c.SectionField]
	if raw == nil {
		raw = json.RawMessage(params.Get("routing"))
	}
	if shard, err = parseSection(raw); err != nil || !ix.holds(shard) {
		return 0, badRequestf(typeMapperParsing, "field [%s] has to be a section from %d to %d",
			c.SectionField, ix.ShardRange[0], ix.ShardRange[1])
	}
	return shard, nil
}
