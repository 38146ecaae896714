package loadgen

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"harepass/internal/test/experiment"
)

// SliceTime is the time span that one Slice covers.
const SliceTime = 100 * time.Millisecond

// Slice holds the counts of one SliceTime of a run. All its fields count queries or attempts.
type Slice struct {
	Arrived  int `json:"Asked"` // first attempts that were due
	Attempts int `json:"Tries"` // attempts that ended, by the instant at which they were due
	Served   int // attempts answered with success before the client's timeout
	Rejected int `json:"Refused"` // attempts answered with 429
	Failed   int // attempts answered in any other way before the client's timeout
	Late     int // attempts without an answer, or with one after the client's timeout
}

// ClassResult holds the outcomes of a class. It counts queries: a retry belongs to the query of its first attempt.
type ClassResult struct {
	Arrived           int `json:"Asked"`
	Served            int
	Rejected          int `json:"Refused"` // queries whose last attempt was answered with 429
	Failed            int
	Late              int                // queries without an answer, or with one after the client's timeout
	WithinQuota       float64            `json:"Within"`       // queries within the quotas, for the class alone
	ServedWithinQuota float64            `json:"WithinServed"` // queries of WithinQuota that were served
	Percentiles       map[string]float64 // latency in milliseconds, by percentile
}

// TenantResult holds the outcomes of a tenant. It counts queries.
type TenantResult struct {
	Arrived       int `json:"Asked"`
	Served        int
	Rejected      int     `json:"Refused"` // queries whose last attempt was answered with 429
	EarnedWeight  float64 `json:"Worth"`   // priority weight earned, reduced beyond the quota
	OfferedWeight float64 `json:"Most"`    // priority weight of all queries, reduced beyond the quota
}

// Result holds the outcomes of a run. Its JSON keys must stay as they are in results already written.
type Result struct {
	Name          string
	Slices        []Slice
	Classes       map[string]*ClassResult
	Tenants       map[string]*TenantResult
	EarnedWeight  float64       `json:"Worth"` // sum over the tenants
	OfferedWeight float64       `json:"Most"`  // sum over the tenants
	Lost          int           // attempts without an answer, or with one after the client's timeout
	Levels        []LevelChange `json:",omitempty"` // changes of the overload level, if the coordinator reports them
	Waits         []Point       `json:",omitempty"` // waits for the coordinator's loop in ms, if it reports them
}

// Point is a value at an instant.
type Point struct {
	At    float64 // seconds from the start
	Value float64
}

// LevelChange is a change of the overload level.
type LevelChange struct {
	At    float64 // seconds from the start
	Level string
}

// Write writes the result to a JSON file, which ReadResults can read.
func (r *Result) Write(path string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err == nil {
		err = os.WriteFile(path, append(data, '\n'), 0o644)
	}
	return err
}

// Print writes the result as a table, followed by a line of figures.
func (r *Result) Print(out io.Writer) error {
	t := &experiment.Report{}
	t.Table("class", "asked", "served", "refused", "failed", "late", "p50 ms", "p99 ms")
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		c := r.Classes[name]
		t.Row(name, c.Arrived, c.Served, c.Rejected, c.Failed, c.Late, c.Percentiles["50"], c.Percentiles["99"])
	}
	for _, name := range slices.Sorted(maps.Keys(r.Tenants)) {
		c := r.Tenants[name]
		t.Row(name, c.Arrived, c.Served, c.Rejected, "", "",
			fmt.Sprintf("worth %.0f", c.EarnedWeight), fmt.Sprintf("of %.0f", c.OfferedWeight))
	}
	t.Figure("worth", "%.3f", r.EarnedWeight/math.Max(r.OfferedWeight, 1e-9))
	t.Figure("lost", "%d", r.Lost)
	return t.Print("load", out)
}

// ReadResults reads results from JSON files. A result without a name gets the name of its file, without the extension.
func ReadResults(paths []string) (list []*Result, err error) {
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		r := &Result{}
		if err := json.Unmarshal(data, r); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		if r.Name == "" {
			r.Name = strings.TrimSuffix(filepath.Base(path), ".json")
		}
		list = append(list, r)
	}
	return list, nil
}
