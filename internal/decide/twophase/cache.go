package twophase

import "container/list"

const (
	// entryOverhead is the memory of an entry besides its body and value, in bytes: maps, list, headers.
	entryOverhead = 256
	// maxEntryFraction is the largest entry that is cached, as a divisor of the limit: one value must not displace all.
	maxEntryFraction = 8
)

// cache bounds the entries of all shards. Their bytes never pass the limit: the least recently used go.
type cache struct {
	limit   int        // bytes that may be cached
	bytes   int        // bytes of all entries
	values  int        // entries with a value
	recency *list.List // of *entry, the most recently used first
}

// entry is a body that was asked for at a shard, with the shard's value for it where that is cached. The value holds
// under the shard's newest version.
type entry struct {
	shard       *shardState
	body        string
	value       []byte // nil where none is cached
	invalidated bool   // the value was outdated since the body was last asked for
	element     *list.Element
}

func (e *entry) size() int { return entryOverhead + len(e.body) + len(e.value) }

func newCache(limit int) cache { return cache{limit: limit, recency: list.New()} }

// recordRequest remembers that a body was asked for.
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

// get returns a cached value, and makes it the most recently used one.
func (c *cache) get(s *shardState, body string) (value []byte, ok bool) {
	e := s.entries[body]
	if e == nil || e.value == nil {
		return nil, false
	}
	c.recency.MoveToFront(e.element)
	return e.value, true
}

// put caches a copy of a value, which may be part of something larger.
func (c *cache) put(s *shardState, body string, value []byte) {
	if e := s.entries[body]; e != nil {
		c.remove(e)
	}
	c.add(&entry{shard: s, body: body, value: append(make([]byte, 0, len(value)), value...)})
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

// trim removes the least recently used entries until the rest is within the limit.
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

// invalidate drops a shard's values. The bodies stay, for they may be asked for again.
func (c *cache) invalidate(s *shardState) {
	for _, e := range s.entries {
		if e.value != nil {
			c.bytes -= len(e.value)
			c.values--
			e.value, e.invalidated = nil, true
		}
	}
}
