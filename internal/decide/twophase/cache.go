package twophase

import "container/list"

const (
	// entryOverhead is the memory that an entry uses besides its body and value, in bytes: maps, list, headers.
	entryOverhead = 256
	// maxEntryFraction bounds the size of an entry to limit/maxEntryFraction, so that one value cannot displace all
	// others.
	maxEntryFraction = 8
)

// cache is an LRU cache over the entries of all shards. Their total size never exceeds the limit.
type cache struct {
	limit   int        // maximum total size, in bytes
	bytes   int        // total size of all entries
	values  int        // number of entries with a value
	recency *list.List // of *entry, the most recently used first
}

// entry is a body that was requested from a shard, with the shard's value for it if that is cached. The value is valid
// for the shard's newest version.
type entry struct {
	shard       *shardState
	body        string
	value       []byte // nil if none is cached
	matches     int64  // with a value: the shard's exact number of matches; -1 if unknown
	invalidated bool   // a value was dropped as outdated since the body was last requested
	element     *list.Element
}

func (e *entry) size() int { return entryOverhead + len(e.body) + len(e.value) }

func newCache(limit int) cache { return cache{limit: limit, recency: list.New()} }

// recordRequest records that a body was requested from a shard.
func (c *cache) recordRequest(s *shardState, body string) {
	e := s.entries[body]
	if e == nil {
		c.add(&entry{shard: s, body: body})
		return
	}
	c.recency.MoveToFront(e.element)
	if e.invalidated {
		e.invalidated = false
		s.observeInvalidated()
	}
}

// get returns the entry of a body with a cached value, nil if there is none, and marks it as the most recently used.
func (c *cache) get(s *shardState, body string) *entry {
	e := s.entries[body]
	if e == nil || e.value == nil {
		return nil
	}
	c.recency.MoveToFront(e.element)
	return e
}

// put caches a copy of a value with its number of matches. It copies because the value may be a slice of a larger buffer.
func (c *cache) put(s *shardState, body string, value []byte, matches int64) {
	if e := s.entries[body]; e != nil {
		c.remove(e)
	}
	value = append(make([]byte, 0, len(value)), value...)
	c.add(&entry{shard: s, body: body, value: value, matches: matches})
}

func (c *cache) add(e *entry) {
	if e.size() > c.limit/maxEntryFraction {
		return
	}
	e.element = c.recency.PushFront(e)
	e.shard.entries[e.body] = e
	c.bytes += e.size()
	if e.value != nil {
		c.values++
	}
	c.trim()
}

// trim evicts the least recently used entries until the total size is within the limit.
func (c *cache) trim() {
	for c.bytes > c.limit {
		c.remove(c.recency.Back().Value.(*entry))
	}
}

func (c *cache) remove(e *entry) {
	c.bytes -= e.size()
	if e.value != nil {
		c.values--
	}
	c.recency.Remove(e.element)
	delete(e.shard.entries, e.body)
}

// invalidate drops a shard's values. The entries stay because their bodies may be requested again.
func (c *cache) invalidate(s *shardState) {
	for _, e := range s.entries {
		if e.value != nil {
			c.dropValue(e)
			e.invalidated = true
		}
	}
}

// dropValue drops the value of an entry, which must have one. The entry stays.
func (c *cache) dropValue(e *entry) {
	c.bytes -= len(e.value)
	c.values--
	e.value = nil
}
