// Command case2 plays searches with a moving time window against an index in two phases.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"review/kit"
)

const (
	sections = 6
	window   = 20 * time.Second // the client asks for pins that were noted in the last 20 s
	leaves   = 12 * time.Second // when, after the start of the searches, the oldest pin leaves that time window
	length   = 30 * time.Second // of the searches
	every    = 150 * time.Millisecond
	slack    = time.Second // how much later than its departure a pin may still be answered; the answer itself takes 0.1 s

	fullWork  = 60 * time.Millisecond
	firstWork = 3 * time.Millisecond
)

const settings = `{
  "balancers": 1, "round_us": 5000, "discovery": "push", "over_share_worth": 0.05,
  "caps": {"cancel": true, "connect_timeout_us": 250000, "keepalive_us": 30000000, "max_retry_after_us": 1000000,
    "most_tries": 4, "open_cap": 368, "peers": false, "retry_after": true, "second_copies": false, "streams_per_conn": 32},
  "classes": [{"name": "conditions-summary", "objective_us": 1500000, "hard_limit_us": 5000000, "importance": 3.0,
    "late_worth": 0.3, "repeat": "free"}],
  "customers": [{"name": "kitakaze", "quota_per_s": 20.0}],
  "family_info": {"batch": 1, "floor_by_class": [0.7], "need_by_class": [1.0], "second_step": [0], "positions": 3,
    "reach": 3, "shards": 6},
  "rules": {"fall_multiple": 2.5, "fall_us": 1500000, "start_capacity": 0.21, "warm_within_us": 18000000}
}`

const front = `listen: %s
inventory: nodes.csv
settings: settings.json
section_field: section
all: conditions
indices:
  conditions:
    class: conditions-summary
    two_phase: {version: version}
callers:
  kitakaze-app: kitakaze
`

// pin is a document. Nothing ever changes it.
type pin struct {
	id      string
	section int
	notedAt time.Time
	version int64
}

// data is what every map node holds.
var data []pin

// search is the part of a search that the stand-in node understands: a range on noted_at, whose lower bound may be a
// time in epoch milliseconds or date math of the form now-Ns, and the aggregation of the first phase.
type search struct {
	Query struct {
		Range map[string]struct {
			GTE json.RawMessage `json:"gte"`
		} `json:"range"`
	} `json:"query"`
	Size *int                       `json:"size"`
	Aggs map[string]json.RawMessage `json:"aggs"`
}

// from returns the lower bound of the search's range at an instant.
func (s *search) from(now time.Time) (time.Time, error) {
	raw := strings.Trim(string(s.Query.Range["noted_at"].GTE), `"`)
	if ago, ok := strings.CutPrefix(raw, "now-"); ok {
		d, err := time.ParseDuration(ago)
		return now.Add(-d), err
	}
	ms, err := strconv.ParseInt(raw, 10, 64)
	return time.UnixMilli(ms), err
}

// matching returns the pins of a section (all if negative) that a search finds at an instant.
func matching(section int, from time.Time) (found []pin) {
	for _, p := range data {
		if (section < 0 || p.section == section) && !p.notedAt.Before(from) {
			found = append(found, p)
		}
	}
	return found
}

type counts struct {
	mu                 sync.Mutex
	full, first, empty int
}

// node serves the search API as a map node does.
func node(c *kit.Case, n *counts) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{index}/_search", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		var s search
		section, err := strconv.Atoi(strings.TrimPrefix(r.URL.Query().Get("preference"), "_shards:"))
		if err == nil {
			err = json.Unmarshal(body, &s)
		}
		now := time.Now()
		from := time.Time{}
		if err == nil {
			from, err = s.from(now)
		}
		if err != nil {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusBadRequest)
			io.WriteString(w, `{"error":{"type":"parsing_exception","reason":"bad search"},"status":400}`)
			return
		}
		found, all := matching(section, from), matching(section, time.Time{})
		isFirst := s.Size != nil && *s.Size == 0
		n.mu.Lock()
		if isFirst {
			n.first++
		} else {
			n.full++
		}
		n.mu.Unlock()
		if isFirst {
			time.Sleep(firstWork)
		} else {
			time.Sleep(fullWork)
		}
		hits := []any{}
		if !isFirst {
			for _, p := range found {
				hits = append(hits, map[string]any{"_index": r.PathValue("index"), "_id": p.id, "_score": 1.0,
					"_source": map[string]any{"section": p.section, "noted_at": p.notedAt.UnixMilli(), "version": p.version}})
			}
		}
		answer := map[string]any{"took": 1, "timed_out": false,
			"_shards": map[string]int{"total": 1, "successful": 1, "skipped": 0, "failed": 0},
			"hits": map[string]any{"total": map[string]any{"value": len(found), "relation": "eq"}, "max_score": nil,
				"hits": hits}}
		if len(s.Aggs) > 0 {
			low, high, sum := all[0].version, all[0].version, int64(0)
			for _, p := range all {
				low, high, sum = min(low, p.version), max(high, p.version), sum+p.version
			}
			stats := map[string]any{"count": len(all), "min": low, "max": high, "sum": sum,
				"avg": float64(sum) / float64(len(all))}
			aggs := map[string]any{}
			for name := range s.Aggs {
				aggs[name] = map[string]any{"doc_count": len(all), "harepass_version": stats}
			}
			answer["aggregations"] = aggs
		}
		text, _ := json.Marshal(answer)
		w.Header().Set("Content-Type", "application/json")
		w.Write(text)
	})
	return mux
}

func ids(pins []pin) string {
	var list []string
	for _, p := range pins {
		list = append(list, p.id)
	}
	sort.Strings(list)
	return strings.Join(list, " ")
}

func main() {
	c := kit.Start(os.Args[1])
	n := &counts{}
	csv := "name,address,port,cell,zone,api\n"
	for i := range 3 {
		l := c.Listen()
		host, port, _ := strings.Cut(l.Addr().String(), ":")
		csv += fmt.Sprintf("node%02d,%s,%s,%d,sapporo-room,opensearch\n", i+1, host, port, i)
		go http.Serve(l, node(c, n))
	}
	address := c.FreeAddress()
	site := c.Site("site", map[string]string{"opensearch.yaml": fmt.Sprintf(front, address), "nodes.csv": csv,
		"settings.json": settings})
	p := c.Run("harepass", site, "exec bin/harepass serve", "PROXY_CONFIG=")
	c.Await("readiness", 10*time.Second, func() bool {
		r, err := http.Get("http://" + address + "/_cluster/health")
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == http.StatusOK
	})

	begin := time.Now().Add(500 * time.Millisecond)
	departure := begin.Add(leaves)
	for s := range sections {
		base := int64(100 * s)
		old := departure.Add(-window)
		if !c.Trouble { // no pin leaves the time window during the run
			old = begin.Add(length)
		}
		data = append(data, pin{fmt.Sprintf("old%d", s), s, old, base + 1},
			pin{fmt.Sprintf("new%d", s), s, begin.Add(length), base + 2})
	}
	time.Sleep(time.Until(begin))
	c.Note("pins %s; old0 to old5 leave the time window of %v at %.3f", ids(data), window, c.At(departure))

	query := fmt.Sprintf(`{"query":{"range":{"noted_at":{"gte":"now-%ds"}}},"size":50}`, int(window.Seconds()))
	wrong, checked, served, refused := 0, 0, 0, 0
	lastWrong := time.Duration(0)
	for time.Since(begin) < length {
		sent := time.Now()
		req, _ := http.NewRequest("POST", "http://"+address+"/conditions/_search", bytes.NewReader([]byte(query)))
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("X-Opaque-Id", "kitakaze-app")
		r, err := http.DefaultClient.Do(req)
		if err != nil {
			c.Note("search failed: %v", err)
			time.Sleep(every)
			continue
		}
		body, _ := io.ReadAll(r.Body)
		r.Body.Close()
		received := time.Now()
		var a struct {
			TimedOut bool `json:"timed_out"`
			Shards   struct{ Total, Successful, Skipped, Failed int }
			ShardsIn struct{ Total, Successful, Skipped, Failed int } `json:"_shards"`
			Hits     struct {
				Hits []struct {
					ID     string `json:"_id"`
					Source struct {
						NotedAt int64 `json:"noted_at"`
					} `json:"_source"`
				}
			}
		}
		json.Unmarshal(body, &a)
		if r.StatusCode != http.StatusOK {
			refused++
			c.Note("search answered %d", r.StatusCode)
			time.Sleep(every)
			continue
		}
		served++
		var got []string
		stale := 0
		for _, h := range a.Hits.Hits {
			got = append(got, h.ID)
			// The pin had left the time window long before the search was sent, so no map node finds it.
			if left := time.UnixMilli(h.Source.NotedAt).Add(window); sent.Sub(left) > slack {
				stale++
				lastWrong = max(lastWrong, sent.Sub(left))
			}
		}
		sort.Strings(got)
		truth := ids(matching(-1, sent.Add(-window)))
		complete := !a.TimedOut && a.ShardsIn.Failed == 0
		note := ""
		if complete {
			checked++
			missing := 0
			for _, p := range matching(-1, received.Add(-window)) {
				i := sort.SearchStrings(got, p.id)
				if i == len(got) || got[i] != p.id {
					missing++
				}
			}
			if stale > 0 || missing > 0 {
				wrong++
				note = fmt.Sprintf(" WRONG: %d pins that no search finds any more, %d missing", stale, missing)
			}
		}
		c.Note("search sent at %.3f answered [%s] complete=%v skipped=%d; a map node finds [%s]%s", c.At(sent),
			strings.Join(got, " "), complete, a.ShardsIn.Skipped, truth, note)
		time.Sleep(every)
	}
	n.mu.Lock()
	c.Say("%d searches served, %d refused; map nodes answered %d in full and %d first phases", served, refused, n.full, n.first)
	n.mu.Unlock()
	if p.Ended() {
		c.CopyLog(p, 4000)
		c.Fail("the coordinator has ended by itself, which is not what this case is about")
	}
	if checked < 20 {
		c.CopyLog(p, 4000)
		c.Fail("only %d complete answers", checked)
	}
	if wrong > 0 {
		c.Say("BROKEN: %d of %d complete answers differ from what the map nodes hold, the last by %v", wrong, checked,
			lastWrong.Round(time.Millisecond))
		c.End(kit.Broken)
	}
	c.Say("held: %d complete answers, none differs from what the map nodes hold", checked)
	c.End(kit.Held)
}
