package fake

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

// Document is one document of a shard.
type Document struct {
	ID      string
	Version any // a number, unless a test needs another type; nil for none
	Fields  map[string]any
}

// Data holds the documents of all shards. The zero value is empty.
type Data struct {
	KeepHistory bool // record every state of each shard, for StatesBetween

	mu          sync.Mutex
	shards      map[int][]Document // sorted by ID; a slice is replaced, never modified
	history     map[int][]ShardState
	nextVersion float64 // version of the next document that Put gets without one
	terms       map[string][]any
}

// SetTerms sets the terms that a terms lookup finds in the document with the given ID, which is in no shard.
func (d *Data) SetTerms(id string, terms ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.terms = maps.Clone(d.terms)
	if d.terms == nil {
		d.terms = map[string][]any{}
	}
	d.terms[id] = terms
}

// Terms returns the terms that terms lookups find. The caller must not modify them.
func (d *Data) Terms() map[string][]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.terms
}

// ShardState is the content of a shard from an instant on.
type ShardState struct {
	Since time.Time
	Docs  []Document // sorted by ID
}

// Docs returns a shard's documents, sorted by ID. The caller must not modify them.
func (d *Data) Docs(shard int) []Document {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shards[shard]
}

// Set replaces a shard's documents.
func (d *Data) Set(shard int, docs []Document) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setLocked(shard, docs)
}

// setLocked replaces a shard's documents. The caller holds mu.
func (d *Data) setLocked(shard int, docs []Document) {
	if d.shards == nil {
		d.shards, d.history = map[int][]Document{}, map[int][]ShardState{}
	}
	docs = slices.Clone(docs)
	slices.SortFunc(docs, func(x, y Document) int { return strings.Compare(x.ID, y.ID) })
	d.shards[shard] = docs
	if d.KeepHistory {
		d.history[shard] = append(d.history[shard], ShardState{time.Now(), docs})
	}
	for _, doc := range docs {
		if version, ok := doc.Version.(float64); ok {
			d.nextVersion = max(d.nextVersion, version+1)
		}
	}
}

// Put adds a document, or replaces the one with the same ID. A document without a version gets the next one.
func (d *Data) Put(shard int, doc Document) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if doc.Version == nil {
		doc.Version = max(1, d.nextVersion)
	}
	d.setLocked(shard, append(without(d.shards[shard], doc.ID), doc))
}

// Delete removes a document.
func (d *Data) Delete(shard int, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setLocked(shard, without(d.shards[shard], id))
}

// without returns a copy of docs that lacks the document with the given ID.
func without(docs []Document, id string) []Document {
	return slices.DeleteFunc(slices.Clone(docs), func(doc Document) bool { return doc.ID == id })
}

// StatesBetween returns the states that a shard had between two instants, both included, oldest first. It requires
// KeepHistory.
func (d *Data) StatesBetween(shard int, from, to time.Time) []ShardState {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.history[shard]
	begin := sort.Search(len(list), func(i int) bool { return !list[i].Since.Before(from) })
	end := sort.Search(len(list), func(i int) bool { return list[i].Since.After(to) })
	return list[max(0, begin-1):end:end] // includes the state before begin, which lasted until it
}

// DocumentIDs returns the value of a shard in a frame: the IDs of its documents as a JSON array.
func DocumentIDs(docs []Document) (string, error) {
	ids := []string{}
	for _, doc := range docs {
		ids = append(ids, doc.ID)
	}
	data, err := json.Marshal(ids)
	return string(data), err
}

// fieldValue returns the value of a document's field. Every document has the fields "section" and "version".
func fieldValue(shard int, doc Document, field string) any {
	switch field {
	case "section":
		return float64(shard)
	case "version":
		return doc.Version
	}
	return doc.Fields[field]
}
