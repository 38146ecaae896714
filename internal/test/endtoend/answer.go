package endtoend

import (
	"fmt"
	"slices"
	"strings"
)

// Answer is a search answer as clients decode it.
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

// missing returns the sections that the answer reports as missing.
func (a Answer) missing() map[int]bool {
	missing := map[int]bool{}
	for _, f := range a.Shards.Failures {
		missing[f.Shard] = true
	}
	return missing
}

// checkCompleteness checks that the counts of shards and hits and the time-out flag are consistent, and that the answer
// covers at least the share floor of the sections.
func (a Answer) checkCompleteness(sections int, floor float64) (faults []string) {
	missing := len(a.missing())
	if a.Shards.Total != sections || a.Shards.Failed != missing || a.Shards.Successful != sections-missing ||
		a.Shards.Skipped > a.Shards.Successful || a.TimedOut != (missing > 0) {
		faults = append(faults, fmt.Sprintf("inconsistent completeness %+v for %d sections, timed_out %t",
			a.Shards, sections, a.TimedOut))
	}
	if float64(a.Shards.Successful) < floor*float64(sections)-1e-9 {
		faults = append(faults, fmt.Sprintf("answer covers only %d of %d sections", a.Shards.Successful, sections))
	}
	if a.Hits.Total.Value != len(a.Hits.Hits) {
		faults = append(faults, fmt.Sprintf("answer states a total of %d hits and has %d",
			a.Hits.Total.Value, len(a.Hits.Hits)))
	}
	return faults
}

// values returns the value of each section: the texts of its hits, sorted and joined into one line.
func (a Answer) values() map[int]string {
	texts := map[int][]string{}
	for _, h := range a.Hits.Hits {
		text := docText(h.ID, h.Source.Version, h.Source.SnowCM)
		if h.Source.Body != nil { // the hit comes from a node that speaks frames
			text = *h.Source.Body
		}
		texts[h.Source.Section] = append(texts[h.Source.Section], text)
	}
	values := map[int]string{}
	for section, list := range texts {
		slices.Sort(list)
		values[section] = strings.Join(list, " ")
	}
	return values
}
