package twophase

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// cachedValue is the value of each entry in a cache of these tests.
var cachedValue = []byte(strings.Repeat("x", 1000))

// entrySize is the size of an entry with cachedValue and a body of two letters.
var entrySize = entryOverhead + len("t0") + len(cachedValue)

// cacheValue has a Planner cache a value of shard 0.
func cacheValue(p *Planner, body string, value []byte) {
	p.ObserveFullWithVersion(testTopic, 0, body, versioned(version(0), 1), value, 0)
}

// isCached reports whether a Planner has a value of shard 0, and makes it the most recently used one.
func isCached(p *Planner, body string) bool {
	v, _ := p.ObserveFirstPhase(testTopic, 0, body, versioned(version(0), 1), true, 0)
	return v == Unchanged
}

// fullCache returns a Planner whose cache is full with the values of the bodies t0 to t9, the last one used last.
func fullCache() *Planner {
	p := New(10 * entrySize)
	for i := range 10 {
		cacheValue(p, fmt.Sprint("t", i), cachedValue)
	}
	return p
}

// Ten values that just fit into the limit are all cached. A limit of 0 caches nothing.
func TestCacheHoldsWhatFits(t *testing.T) {
	if n, bytes := fullCache().Cached(); n != 10 || bytes != 10*entrySize {
		t.Errorf("%d values, %d bytes: what just fits is cached", n, bytes)
	}
	if v, _ := New(0).ObserveFirstPhase(testTopic, 0, "q", versioned(version(0), 1), true, 0); v != NeedsFull {
		t.Errorf("a limit of 0: %v", v)
	}
}

// The cache is full and its oldest value is used. Another value then displaces the second oldest one; a value that is
// cached again displaces nothing.
func TestCacheDropsLeastRecentlyUsed(t *testing.T) {
	p := fullCache()
	isCached(p, "t0") // used
	cacheValue(p, "tt", cachedValue)
	cacheValue(p, "t0", cachedValue) // again
	if !isCached(p, "t0") || isCached(p, "t1") || !isCached(p, "tt") {
		t.Errorf("t0 %t, t1 %t, tt %t: want the least recently used gone",
			isCached(p, "t0"), isCached(p, "t1"), isCached(p, "tt"))
	}
	if n, bytes := p.Cached(); n != 10 || bytes != 10*entrySize {
		t.Errorf("%d values, %d bytes after one was displaced", n, bytes)
	}
}

// A value is larger than an eighth of the limit. It is not cached, for it would displace many.
func TestCacheRefusesLargeValue(t *testing.T) {
	p := fullCache()
	cacheValue(p, "huge", []byte(strings.Repeat("x", 2*entrySize)))
	if isCached(p, "huge") {
		t.Error("a value over an eighth of the limit is cached")
	}
}

// Whatever comes, the counts add up, the limit holds, and the verdict Unchanged gives the value that was cached last
// for just this body and shard under just this version.
func TestCacheModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 20000).Draw(t, "limit")
		p, now := New(limit), time.Duration(0)
		type key struct {
			shard int
			body  string
			v     Version
		}
		cached := map[key]string{}
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
					Topic: testTopic, Body: body, Shards: []int{0, 1, 2}, Now: now, ObjectiveAt: now + time.Second,
				})
			case 1:
				value := strings.Repeat(fmt.Sprint(i), rapid.IntRange(1, 900).Draw(t, "size"))
				p.ObserveFullWithVersion(testTopic, shard, body, ev, []byte(value), now)
				if ev.Readable && ev.Versioned {
					cached[key{shard, body, v}] = value
				}
			case 2:
				verdict, value := p.ObserveFirstPhase(testTopic, shard, body, ev, true, now)
				if verdict == Unchanged &&
					(!ev.Readable || !ev.Versioned || cached[key{shard, body, v}] != string(value)) {
					t.Fatalf("unchanged with %.20q, cached %.20q", value, cached[key{shard, body, v}])
				}
				if verdict == Empty && (!ev.Readable || ev.Matches != 0) {
					t.Fatalf("empty on %+v", ev)
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
				t.Fatalf("%d values of %d bytes counted, %d of %d there, limit %d", n, b, values, bytes, limit)
			}
		}
	})
}
