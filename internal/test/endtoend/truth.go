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

// Truth knows what the nodes held at any time, so that answers can be checked against it.
type Truth struct {
	Nodes                       []*Node
	RingSize, ReplicationFactor int
	MinFraction                 float64 // minimum fraction of the sections, which all weigh the same, in an answer
}

// holders returns the nodes that hold a section.
func (t Truth) holders(section int) (list []*Node) {
	for _, n := range t.Nodes {
		if ((n.Cell-section)%t.RingSize+t.RingSize)%t.RingSize < t.ReplicationFactor {
			list = append(list, n)
		}
	}
	return list
}

// Check checks an answer to a search for all hits in some sections. The value of each section must be one that a holder
// had between from, the query's arrival, and to, its answer; the stated completeness must be correct. Check returns the
// faults that it finds.
func (t Truth) Check(query map[string]any, sections []int, body []byte, from, to time.Time) (faults []string) {
	var a Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return []string{err.Error()}
	}
	faults = a.checkCompleteness(len(sections), t.MinFraction)
	missing, values := a.missing(), a.values()
	for _, s := range sections {
		value := values[s]
		delete(values, s)
		if missing[s] {
			if value != "" {
				faults = append(faults, fmt.Sprintf("section %d is reported missing but has hits", s))
			}
			continue
		}
		if had := t.Values(query, s, from, to); !had[value] {
			faults = append(faults, fmt.Sprintf(
				"section %d: no holder had value [%s] between %v and %v; the holders had %q",
				s, value, from, to, slices.Sorted(maps.Keys(had))))
		}
	}
	for s := range values {
		if !missing[s] {
			faults = append(faults, fmt.Sprintf("section %d was not requested but has hits", s))
		}
	}
	return faults
}

// docText returns a document's text in a value: its ID, its version and its depth of snow.
func docText(id string, version, snow any) string { return fmt.Sprintf("%s@%v=%v", id, version, snow) }

// Values returns the values that a section had at any of its holders between two instants. The query must depend on
// nothing but the section's documents.
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
				if fake.Matches(section, doc, q, fake.Evaluation{}) {
					list = append(list, docText(doc.ID, doc.Version, doc.Fields["snow_cm"]))
				}
			}
			slices.Sort(list)
			had[strings.Join(list, " ")] = true
		}
	}
	return had
}
