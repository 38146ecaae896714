package twophase

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// cachedValue is the value of most cache entries in these tests.
var cachedValue = []byte(strings.Repeat("x", 1000))

// entrySize is the size of an entry with cachedValue and a two-letter body.
var entrySize = entryOverhead + len("t0") + len(cachedValue)

// cacheValue makes a Planner cache a value of shard 0.
func cacheValue(p *Planner, body string, value []byte) {
	p.ObserveFullWithVersion(testTopic, 0, body, versioned(version(0), 1), value, 0)
}

// isCached reports whether a Planner has cached a value of shard 0. If so, it marks that value as the most recently
// used.
func isCached(p *Planner, body string) bool {
	v, _ := p.ObserveFirstPhase(testTopic, 0, body, versioned(version(0), 1), true, 0)
	return v == Unchanged
}

// fullCache returns a Planner whose cache is filled with the values of the bodies t0 to t9, t9 the most recently used.
func fullCache() *Planner {
	p := New(10 * entrySize)
	for i := range 10 {
		cacheValue(p, fmt.Sprint("t", i), cachedValue)
	}
	return p
}

// Ten values that exactly fill the limit are all cached. With a limit of 0 nothing is cached.
func TestCacheHoldsWhatFits(t *testing.T) {
	if n, bytes := fullCache().Cached(); n != 10 || bytes != 10*entrySize {
		t.Errorf("%d values of %d bytes cached, want 10 values that exactly fill the limit", n, bytes)
	}
	if v, _ := New(0).ObserveFirstPhase(testTopic, 0, "q", versioned(version(0), 1), true, 0); v != NeedsFull {
		t.Errorf("limit of 0: verdict %v, want needs full", v)
	}
}

// The cache is full, and its oldest value is used. A new value then displaces the second oldest one. Caching an
// existing body again displaces nothing.
func TestCacheDropsLeastRecentlyUsed(t *testing.T) {
	p := fullCache()
	isCached(p, "t0") // used
	cacheValue(p, "tt", cachedValue)
	cacheValue(p, "t0", cachedValue) // again
	if !isCached(p, "t0") || isCached(p, "t1") || !isCached(p, "tt") {
		t.Errorf("cached: t0 %t, t1 %t, tt %t; want only t1, the least recently used, evicted",
			isCached(p, "t0"), isCached(p, "t1"), isCached(p, "tt"))
	}
	if n, bytes := p.Cached(); n != 10 || bytes != 10*entrySize {
		t.Errorf("%d values of %d bytes cached after one was displaced, want a full cache of 10", n, bytes)
	}
}

// A value larger than an eighth of the limit is not cached, because it would displace many others.
func TestCacheRefusesLargeValue(t *testing.T) {
	p := fullCache()
	cacheValue(p, "huge", []byte(strings.Repeat("x", 2*entrySize)))
	if isCached(p, "huge") {
		t.Error("a value larger than an eighth of the limit is cached")
	}
}

// After any sequence of calls the counts match the entries, the size is within the limit, and the verdict Unchanged
// returns the value last cached for the same body, shard and version.
func TestCacheModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 20000).Draw(t, "limit")
		p, now := New(limit), time.Duration(0)
		type key struct {
			shard int
			body  string
			v     Version
		}
		type answer struct {
			value   string
			matches int64
		}
		cached := map[key]answer{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second
			shard := rapid.IntRange(0, 2).Draw(t, "shard")
			body := rapid.SampledFrom([]string{"a", "b", "ab"}).Draw(t, "body")
			n := float64(rapid.IntRange(1, 4).Draw(t, "version"))
			v := Version{int64(rapid.IntRange(1, 3).Draw(t, "docs")), n, 1, n}
			ev := versioned(v, int64(rapid.IntRange(0, 2).Draw(t, "matches")))
			ev.Readable = rapid.IntRange(0, 9).Draw(t, "readable") > 0
			ev.Versioned = rapid.IntRange(0, 9).Draw(t, "versioned") > 0
			switch rapid.IntRange(0, 2).Draw(t, "call") {
			case 0:
				p.Plan(Request{
					Topic: testTopic, Body: body, Cacheable: true, Shards: []int{0, 1, 2}, Now: now,
					ObjectiveAt: now + time.Second,
				})
			case 1:
				value := strings.Repeat(fmt.Sprint(i), rapid.IntRange(1, 900).Draw(t, "size"))
				p.ObserveFullWithVersion(testTopic, shard, body, ev, []byte(value), now)
				if ev.Readable && ev.Versioned {
					cached[key{shard, body, v}] = answer{value, ev.Matches}
				}
			case 2:
				verdict, value := p.ObserveFirstPhase(testTopic, shard, body, ev, true, now)
				if verdict == Unchanged &&
					(!ev.Readable || !ev.Versioned || cached[key{shard, body, v}] != answer{string(value), ev.Matches}) {
					t.Fatalf("verdict Unchanged with %.20q for %+v, cached %.20v", value, ev, cached[key{shard, body, v}])
				}
				if verdict == Empty && (!ev.Readable || ev.Matches != 0) {
					t.Fatalf("verdict Empty for evidence %+v", ev)
				}
			}
			bytes, values := 0, 0
			for _, s := range p.shards {
				for _, e := range s.entries {
					if bytes += e.size(); e.value != nil {
						values++
					}
				}
			}
			if n, b := p.Cached(); n != values || b != bytes || b > limit || p.cache.recency.Len() < values {
				t.Fatalf("counted %d values of %d bytes, found %d of %d, limit %d", n, b, values, bytes, limit)
			}
		}
	})
}
