package capacity

import (
	"encoding/json"
	"fmt"
	"os"
)

// Scale is what the page takes from a scale run's result (`bin/lab scale -o`): a fleet of the whole size on one machine.
type Scale struct {
	Plan     string                `json:"plan"`
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

// ScaleTimes are seconds from a change's publishing, or a member's start, until it was in force.
type ScaleTimes struct {
	Median float64 `json:"median_s"`
	P99    float64 `json:"p99_s"`
	Last   float64 `json:"last_s"`
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
