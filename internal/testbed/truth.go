package testbed

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"harepass/internal/standin"
)

// Truth knows what the nodes held at any time, to hold answers against.
type Truth struct {
	Nodes        []*Node
	Cells, Reach int
	Floor        float64 // least share of the sections, all of one weight, in an answer
}

// holders are the nodes of a section that speak the API.
func (t Truth) holders(section int) (list []*Node) {
	for _, n := range t.Nodes {
		if ((n.Cell-section)%t.Cells+t.Cells)%t.Cells < t.Reach {
			list = append(list, n)
		}
	}
	return list
}

// Answer is a search answer as clients read it.
type Answer struct {
	TimedOut bool `json:"timed_out"`
	Shards   struct {
		Total, Successful, Skipped, Failed int
		Failures                           []struct{ Shard int }
	} `json:"_shards"`
	Hits struct {
		Total struct{ Value int }
		Hits  []struct {
			ID     string `json:"_id"`
			Source struct {
				Section int
				Version any
				SnowCM  any `json:"snow_cm"`
				Body    *string
			} `json:"_source"`
		}
	}
}

// Check holds an answer to a search of all hits in some sections against the truth: the value of each section in it
// is one that a holder had between the query's arrival and the answer, and the stated completeness is so.
func (t Truth) Check(query map[string]any, sections []int, body []byte, from, to time.Time) (faults []string) {
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	var a Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return []string{err.Error()}
	}
	missing := map[int]bool{}
	for _, f := range a.Shards.Failures {
		missing[f.Shard] = true
	}
	if a.Shards.Total != len(sections) || a.Shards.Failed != len(missing) || a.Shards.Successful != len(sections)-len(missing) ||
		a.Shards.Skipped > a.Shards.Successful || a.TimedOut != (len(missing) > 0) {
		fault("completeness %+v of %d sections, timed out %t", a.Shards, len(sections), a.TimedOut)
	}
	if float64(a.Shards.Successful) < t.Floor*float64(len(sections))-1e-9 {
		fault("an answer from %d of %d sections", a.Shards.Successful, len(sections))
	}
	if a.Hits.Total.Value != len(a.Hits.Hits) {
		fault("total %d, %d hits", a.Hits.Total.Value, len(a.Hits.Hits))
	}
	got := map[int][]string{}
	for _, h := range a.Hits.Hits {
		id := docText(h.ID, h.Source.Version, h.Source.SnowCM)
		if h.Source.Body != nil { // a node that speaks frames
			id = *h.Source.Body
		}
		got[h.Source.Section] = append(got[h.Source.Section], id)
	}
	for _, s := range sections {
		value := strings.Join(slices.Sorted(slices.Values(got[s])), " ")
		if missing[s] {
			if value != "" {
				fault("section %d is called missing and has hits", s)
			}
			continue
		}
		if had := t.Values(query, s, from, to); !had[value] {
			fault("section %d: [%s] was at no holder between %v and %v, but %q", s, value, from, to, slices.Sorted(maps.Keys(had)))
		}
		delete(got, s)
	}
	for s := range got {
		if !missing[s] {
			fault("section %d was not asked for and has hits", s)
		}
	}
	return faults
}

// docText is a document within a value: its id, its version and what it says.
func docText(id string, version, says any) string { return fmt.Sprintf("%s@%v=%v", id, version, says) }

// Values are those that some holder of a section would have given.
func (t Truth) Values(query map[string]any, section int, from, to time.Time) map[string]bool {
	raw, _ := json.Marshal(query)
	var q map[string]json.RawMessage
	json.Unmarshal(raw, &q)
	had := map[string]bool{}
	for _, n := range t.holders(section) {
		for _, state := range n.Data.Between(section, from, to) {
			if n.Scheme != "" {
				ids, _ := standin.IDs(state.Docs)
				had[ids] = true
				continue
			}
			var list []string
			for _, doc := range state.Docs {
				if standin.Matches(section, doc, q) {
					list = append(list, docText(doc.ID, doc.Version, doc.Fields["snow_cm"]))
				}
			}
			slices.Sort(list)
			had[strings.Join(list, " ")] = true
		}
	}
	return had
}
