package faultinjection

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"go.yaml.in/yaml/v3"
)

// Scenario is what a fleet of real processes meets, step by step, while clients send queries. What has to hold is the
// same in every scenario: the package's comment lists it.
type Scenario struct {
	// Name names the scenario in reports.
	Name string `yaml:"name"`
	// Coordinators is how many the fleet begins with, from 1 to 40.
	Coordinators int `yaml:"coordinators"`
	// Replicas is how many there are, from 3 to 60. Without ReplicaSets, each has a ring position of its own and a
	// shard has three holders in a row.
	Replicas int `yaml:"nodes"`
	// Clients is how many plain clients each coordinator has.
	Clients int `yaml:"clients"`
	// ServiceTime is how long a part takes a core of a replica that is warmed up.
	ServiceTime time.Duration `yaml:"work"`
	// Duration is the time from the first step's zero to the end of all faults.
	Duration time.Duration `yaml:"lasts"`
	// ReplicaSets has the size of each set of replicas that hold the same shards; empty for no sets.
	ReplicaSets []int `yaml:"sets"`
	// Push has an agent beside each coordinator give it endpoint lists; without it coordinators poll discovery.
	Push bool `yaml:"push"`
	// Overrides are the settings that differ from the site's.
	Overrides Overrides `yaml:"settings"`
	// Deadline is that of all classes; 0 leaves the site's.
	Deadline time.Duration `yaml:"deadline"`
	// StrictClients is how many clients of each coordinator also leave, idle and stall; only a kill excuses a request
	// of theirs that has no answer.
	StrictClients int `yaml:"judged"`
	// IdleConnections is how many connections to each coordinator bring nothing.
	IdleConnections int `yaml:"idle"`
	// MaxLost is how many requests of plain clients may be read and never answered, by coordinators that are killed.
	MaxLost int `yaml:"lost"`
	// Steps are what happens, in order of time.
	Steps []Step `yaml:"steps"`
}

// Load reads a scenario from a YAML file. The error names the file; it wraps ErrInvalidScenario where no fleet could
// play what the file says, and is that of reading the file otherwise.
func Load(file string) (*Scenario, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	s := &Scenario{}
	d := yaml.NewDecoder(bytes.NewReader(data))
	d.KnownFields(true)
	if err := d.Decode(s); err != nil {
		return nil, fmt.Errorf("%s: %w: %w", file, ErrInvalidScenario, err)
	}
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w: %w", file, ErrInvalidScenario, err)
	}
	return s, nil
}

// peakCoordinators is how many coordinators the scenario ever has.
func (s *Scenario) peakCoordinators() int {
	most := s.Coordinators
	for _, st := range s.Steps {
		most = max(most, st.Resize)
	}
	return most
}
