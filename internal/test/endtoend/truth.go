package endtoend

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"harepass/internal/test/fake"
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

// Check holds an answer to a search of all hits in some sections against the truth: the value of each section in it
// is one that a holder had between the query's arrival and the answer, and the stated completeness is so.
func (t Truth) Check(query map[string]any, sections []int, body []byte, from, to time.Time) (faults []string) {
	var a Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return []string{err.Error()}
	}
	faults = a.checkCompleteness(len(sections), t.Floor)
	missing, values := a.missing(), a.values()
	for _, s := range sections {
		value := values[s]
		delete(values, s)
		if missing[s] {
			if value != "" {
				faults = append(faults, fmt.Sprintf("section %d is called missing and has hits", s))
			}
			continue
		}
		if had := t.Values(query, s, from, to); !had[value] {
			faults = append(faults, fmt.Sprintf("section %d: [%s] was at no holder between %v and %v, but %q", s, value, from, to, slices.Sorted(maps.Keys(had))))
		}
	}
	for s := range values {
		if !missing[s] {
			faults = append(faults, fmt.Sprintf("section %d was not asked for and has hits", s))
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
		for _, state := range n.Data.StatesBetween(section, from, to) {
			if n.Scheme != "" {
				ids, _ := fake.DocumentIDs(state.Docs)
				had[ids] = true
				continue
			}
			var list []string
			for _, doc := range state.Docs {
				if fake.Matches(section, doc, q) {
					list = append(list, docText(doc.ID, doc.Version, doc.Fields["snow_cm"]))
				}
			}
			slices.Sort(list)
			had[strings.Join(list, " ")] = true
		}
	}
	return had
}
