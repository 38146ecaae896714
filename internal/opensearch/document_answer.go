package opensearch

import (
	"bytes"
	"encoding/json"
	"net/http"

	"harepass/internal/core"
	"harepass/internal/http1"
)

// resultCreated is the result of a document that is new, in the API's words.
const resultCreated = "created"

// documentAnswer is the body that tells a client that its document is stored, on the wire.
type documentAnswer struct {
	Index       string      `json:"_index"`
	ID          string      `json:"_id"`
	Version     int64       `json:"_version"`
	Result      string      `json:"result"`
	Shards      shardCounts `json:"_shards"`
	SeqNo       int64       `json:"_seq_no"`
	PrimaryTerm int64       `json:"_primary_term"`
}

// documentReply is the answer to a document that was served: 201 for a new one, 200 for one that replaced another, and
// replicaFault's for one that the replica found at fault. A replica that offers the API words the body itself; for
// other replicas the document counts as new.
func documentReply(doc *document, a core.Answer) *http1.Message {
	if m := replicaFault(a); m != nil {
		return m
	}
	value := a.Values[0]
	var stored struct {
		Result string `json:"result"`
	}
	if bytes.HasPrefix(value, []byte("{")) && json.Unmarshal(value, &stored) == nil && stored.Result != "" {
		status := http.StatusOK
		if stored.Result == resultCreated {
			status = http.StatusCreated
		}
		return jsonReply(status, json.RawMessage(value))
	}
	return jsonReply(http.StatusCreated, documentAnswer{
		Index:       doc.index.name,
		ID:          doc.id,
		Version:     1,
		Result:      resultCreated,
		Shards:      shardCounts{Total: 1, Successful: 1},
		PrimaryTerm: 1,
	})
}

// replicaFault returns the answer to a request in which a replica that offers the API has found a fault, as the replica
// words it. It is nil where none has.
func replicaFault(a core.Answer) *http1.Message {
	for i, status := range a.Faults {
		if status != 0 {
			return jsonReply(status, json.RawMessage(a.Values[i]))
		}
	}
	return nil
}
