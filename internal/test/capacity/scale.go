package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
)

// Scale is what the page takes from a scale run's result (`bin/lab scale -o`): a fleet of the whole size on one machine.
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

// ScaleSizes are what the run was made of.
type ScaleSizes struct {
	Coordinators float64 `json:"coordinators"`
	Real         float64 `json:"real"`
	Modules      float64 `json:"hollow_with_module"`
	Entries      float64 `json:"entries"`
	Control      float64 `json:"control_processes"`
}

// ScaleTimes are seconds from a change's publishing, or a member's start, until it was in force.
type ScaleTimes struct {
	Median float64 `json:"median_s"`
	P99    float64 `json:"p99_s"`
	Last   float64 `json:"last_s"`
	Never  float64 `json:"never"` // members that never had a change in force, summed over the changes
}

// ScaleTrouble are those of one trouble.
type ScaleTrouble struct {
	What      string     `json:"what"`
	List      ScaleTimes `json:"list"`
	Settings  ScaleTimes `json:"settings"`
	Recovered ScaleTimes `json:"recovered"`
}

// ScaleSpent is what one process of a role spent, in the mean and at most; of hosts, one of its members.
type ScaleSpent struct {
	CPU        float64 `json:"cpu_share"`
	CPUMost    float64 `json:"cpu_share_most"`
	KBPerS     float64 `json:"kb_per_s"`
	KBPerSMost float64 `json:"kb_per_s_most"`
	MemoryMB   float64 `json:"memory_mb"`
	MemoryMost float64 `json:"memory_mb_most"`
}

// ScaleBaseline is the fleet without distribution, at a cost of discovery's calls.
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

// scaleText is what a run came to, with all that it missed.
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

// LoadScale reads a scale run's file.
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
