package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
)

// Scale holds the fields that the page uses of a scale run's result (`bin/lab scale -o`). A scale run is a fleet of
// full size on one machine.
type Scale struct {
	Plan     string                `json:"plan"`
	Seconds  float64               `json:"seconds"`
	Sizes    ScaleSizes            `json:"sizes"`
	Started  ScaleTimes            `json:"started"`
	List     ScaleTimes            `json:"list"`
	Settings ScaleTimes            `json:"settings"`
	Troubles []ScaleTrouble        `json:"troubles"`
	Starting map[string]ScaleSpent `json:"starting"`
	Calm     map[string]ScaleSpent `json:"calm"`
	Troubled map[string]ScaleSpent `json:"troubled"`
	Baseline []ScaleBaseline       `json:"baseline"`
	Missed   []string              `json:"missed"`
}

// ScaleSizes holds the numbers of processes and entries of a scale run.
type ScaleSizes struct {
	Coordinators float64 `json:"coordinators"`
	Real         float64 `json:"real"`
	Modules      float64 `json:"hollow_with_module"`
	Entries      float64 `json:"entries"`
	Control      float64 `json:"control_processes"`
}

// ScaleTimes holds the seconds from a change's publication, or a member's start, until the change or the list is in
// force.
type ScaleTimes struct {
	Median float64 `json:"median_s"`
	P99    float64 `json:"p99_s"`
	Last   float64 `json:"last_s"`
	Never  float64 `json:"never"` // members that never had a change in force, sum over the changes
}

// ScaleTrouble holds the times of one trouble, an injected failure.
type ScaleTrouble struct {
	What      string     `json:"what"`
	List      ScaleTimes `json:"list"`
	Settings  ScaleTimes `json:"settings"`
	Recovered ScaleTimes `json:"recovered"`
}

// ScaleSpent holds the mean and the maximum use of resources of one process of a role. For hosts it is that of one of
// their members.
type ScaleSpent struct {
	CPU        float64 `json:"cpu_share"`
	CPUMost    float64 `json:"cpu_share_most"`
	KBPerS     float64 `json:"kb_per_s"`
	KBPerSMost float64 `json:"kb_per_s_most"`
	MemoryMB   float64 `json:"memory_mb"`
	MemoryMost float64 `json:"memory_mb_most"`
}

// ScaleBaseline holds the times of the fleet without relays, for an assumed time of discovery's calls.
type ScaleBaseline struct {
	Turn float64    `json:"turn_s"`
	List ScaleTimes `json:"list"`
}

// The roles as a scale run names them.
const (
	scaleAuthority   = "authority"
	scaleRelay       = "relay"
	scaleCoordinator = "coordinator"
	scaleHost        = "host of hollow coordinators"
)

// scaleText returns the result of a scale run, with all expectations that it missed.
func scaleText(s *Scale) string {
	if s == nil {
		return "Not run yet.\n"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "Plan `%s`: %s coordinators, %s of them real and %s hollow ones with owner and module, %s entries, %s control processes; %s s.\n\n", s.Plan, number(s.Sizes.Coordinators), number(s.Sizes.Real),
		number(s.Sizes.Modules), number(s.Sizes.Entries), number(s.Sizes.Control), number(s.Seconds))
	fmt.Fprint(&b, "| until in force, in seconds | median | 99 in 100 | last | never |\n| --- | --- | --- | --- | --- |\n")
	row := func(what string, t ScaleTimes) {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", what, number(t.Median), number(t.P99), number(t.Last), number(t.Never))
	}
	row("from its start: list and settings", s.Started)
	row("list", s.List)
	row("settings", s.Settings)
	for _, t := range s.Troubles {
		row(t.What+": list", t.List)
		row(t.What+": after its end", t.Recovered)
	}
	for _, base := range s.Baseline {
		row(fmt.Sprintf("without distribution, %g s a call: list", base.Turn), base.List)
	}
	fmt.Fprint(&b, "\nMissed of what the plan states:\n\n")
	if len(s.Missed) == 0 {
		fmt.Fprintln(&b, "- nothing")
	}
	for _, missed := range s.Missed {
		fmt.Fprintf(&b, "- %s\n", missed)
	}
	return b.String()
}

// LoadScale reads a scale run from a JSON file.
func LoadScale(path string) (*Scale, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &Scale{}
	if err := json.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}
