package opensearch

import (
	"bytes"
	"encoding/json"
	"net/http"

	"harepass/internal/core"
	"harepass/internal/http1"
)

// resultCreated is the API's result value for a new document.
const resultCreated = "created"

// documentAnswer is the wire form of the answer to a client whose document is stored.
type documentAnswer struct {
	Index       string      `json:"_index"`
	ID          string      `json:"_id"`
	Version     int64       `json:"_version"`
	Result      string      `json:"result"`
	Shards      shardCounts `json:"_shards"`
	SeqNo       int64       `json:"_seq_no"`
	PrimaryTerm int64       `json:"_primary_term"`
}

// documentReply builds the answer to a served document: status 201 for a new document, 200 for one that replaced
// another, and the answer of replicaFault if the replica found a fault. A replica that offers the API words the body
// itself; for other replicas the document counts as new.
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

// replicaFault returns the answer to a request in which a replica that offers the API found a fault, in the replica's
// wording, or nil if none did.
func replicaFault(a core.Answer) *http1.Message {
	for i, status := range a.Faults {
		if status != 0 {
			return jsonReply(status, json.RawMessage(a.Values[i]))
		}
	}
	return nil
}
