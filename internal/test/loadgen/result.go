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

// sliceTime is the span that one Slice of a Result counts.
const sliceTime = 100 * time.Millisecond

// Slice is what a load had in a tenth of a second.
type Slice struct{ Asked, Tries, Served, Refused, Failed, Late int }

// ClassResult is what came of a class.
type ClassResult struct {
	Asked, Served, Refused, Failed, Late int
	Within, WithinServed                 float64            // by second and tenant: what its share covers of the class alone
	Percentiles                          map[string]float64 // milliseconds, from when it was due to the answer
}

// TenantResult is what came of a tenant.
type TenantResult struct {
	Asked, Served, Refused int
	Worth, Most            float64
}

// Result is what came of a load. A client's retries belong to its first try.
type Result struct {
	Name    string
	Slices  []Slice
	Classes map[string]*ClassResult
	Tenants map[string]*TenantResult
	Worth   float64       // served in time, within the shares
	Most    float64       // asked for
	Lost    int           // tries that ended without any answer, or late ones
	Levels  []LevelChange `json:",omitempty"`
	Waits   []Point       `json:",omitempty"` // of the coordinator's loop, where that is known: milliseconds
}

// Write writes a result as JSON, for reports.
func (r *Result) Write(path string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err == nil {
		err = os.WriteFile(path, append(data, '\n'), 0o644)
	}
	return err
}

// Print writes a result as a table.
func (r *Result) Print(out io.Writer) error {
	t := &experiment.Report{}
	t.Table("class", "asked", "served", "refused", "failed", "late", "p50 ms", "p99 ms")
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		c := r.Classes[name]
		t.Row(name, c.Asked, c.Served, c.Refused, c.Failed, c.Late, c.Percentiles["50"], c.Percentiles["99"])
	}
	for _, name := range slices.Sorted(maps.Keys(r.Tenants)) {
		c := r.Tenants[name]
		t.Row(name, c.Asked, c.Served, c.Refused, "", "", fmt.Sprintf("worth %.0f", c.Worth), fmt.Sprintf("of %.0f", c.Most))
	}
	t.Key("worth", "%.3f", r.Worth/math.Max(r.Most, 1e-9))
	t.Key("lost", "%d", r.Lost)
	return t.Print("load", out)
}

// Point is a value at a time, in seconds from the start.
type Point struct{ At, Value float64 }

// LevelChange is a change of the level of overload.
type LevelChange struct {
	At    float64
	Level string
}

// ReadResults reads the results of loads from JSON files; one without a name has its file's.
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
