package faultinjection

import (
	"bytes"
	"fmt"
	"os"
	"path"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Scenario is what a fleet of real processes meets, step by step, while clients ask. What has to hold does so in every
// scenario: at each instant the rules, by the stand-ins' own records; once all steps are over and the faults have ended,
// every coordinator that runs serves whole summaries again.
type Scenario struct {
	Name            string        `yaml:"name"`
	Coordinators    int           `yaml:"coordinators"`
	Replicas        int           `yaml:"nodes"`   // each listed in a cell of its own, with three in a row for a section
	Clients         int           `yaml:"clients"` // of each coordinator
	ServiceTime     time.Duration `yaml:"work"`    // that a part takes a node
	Duration        time.Duration `yaml:"lasts"`
	ReplicaSets     []int         `yaml:"sets"`     // where nodes form sets that hold the same sections: how many each has
	Push            bool          `yaml:"push"`     // lists come to an agent of each coordinator's own
	Overrides       Overrides     `yaml:"settings"` // that differ from the site's
	Deadline        time.Duration `yaml:"deadline"` // of all classes; as in the site's settings where it is 0
	StrictClients   int           `yaml:"judged"`   // clients of each coordinator that also leave, rest and stall, and excuse nothing but a kill
	IdleConnections int           `yaml:"idle"`     // connections to each coordinator that bring nothing
	MaxLost         int           `yaml:"lost"`     // requests that may be heard and never answered, by coordinators that are killed
	Steps           []Step        `yaml:"steps"`
}

// Step is one thing that happens. Coordinators are c0, c1 .., nodes n0, n1 .., discovery is registry; names are patterns
// as in path.Match, several of them apart by spaces. Exactly one of the fields besides At is set, but that Link goes with
// what is done to the links, and Told with Grow.
type Step struct {
	At time.Duration `yaml:"at"`

	Kill   string `yaml:"kill"`   // SIGKILL
	Stop   string `yaml:"stop"`   // SIGTERM
	Pause  string `yaml:"pause"`  // SIGSTOP
	Resume string `yaml:"resume"` // SIGCONT
	Start  string `yaml:"start"`  // again, with what is known by then

	Suspend   string        `yaml:"hold"`   // SIGSTOP for a moment (For), as on busy cores: no rule is eased for it
	Reload    string        `yaml:"reload"` // SIGHUP
	Terminate string        `yaml:"term"`   // SIGTERM, SIGKILL as soon as the platform may, and a start a time (For) after the end
	For       time.Duration `yaml:"for"`

	Discovery string `yaml:"discovery"` // sound, down, crowded or silent from now on

	Resize      int    `yaml:"grow"` // or shrink, to so many coordinators; the last ones are stopped
	Reconfigure string `yaml:"told"` // who hears of the size now, by a reload; all others do at the next such step

	Link      string        `yaml:"link"` // "FROM TO"
	Cut       string        `yaml:"cut"`  // there, back or both: nothing arrives, and nothing is said
	Heal      bool          `yaml:"heal"`
	Reset     bool          `yaml:"reset"`
	Delay     time.Duration `yaml:"delay"` // of each piece
	Rate      int           `yaml:"rate"`  // bytes a second, at most
	Drop      float64       `yaml:"lose"`  // share of the nodes' answers that never arrive,
	Duplicate float64       `yaml:"twice"` // that arrive twice,
	Reorder   float64       `yaml:"swap"`  // or after the next one

	Replica string       `yaml:"node"`
	Becomes ReplicaState `yaml:"becomes"` // drained, gone, back (a new process, cold), hung, failing, sound
}

// Load reads a scenario.
func Load(file string) (*Scenario, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	s := &Scenario{}
	d := yaml.NewDecoder(bytes.NewReader(data))
	d.KnownFields(true)
	if err := d.Decode(s); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return s, nil
}

var replicaStates = []ReplicaState{replicaDraining, replicaRemoved, replicaRestarted, replicaUnresponsive, replicaFailing, replicaHealthy}

// check names the first thing that no fleet could be or do.
func (s *Scenario) validate() error {
	switch {
	case s.Coordinators < 1 || s.Coordinators > 40:
		return fmt.Errorf("coordinators: %d; from 1 to 40 can be started", s.Coordinators)
	case s.Replicas < holdersPerShard || s.Replicas > 60:
		return fmt.Errorf("nodes: %d; from %d to 60 can be", s.Replicas, holdersPerShard)
	case s.Clients+s.StrictClients < 1:
		return fmt.Errorf("clients: %d; at least one has to ask", s.Clients)
	case len(s.ReplicaSets) > 0 && sum(s.ReplicaSets) != s.Replicas:
		return fmt.Errorf("sets: %v have %d nodes, not %d", s.ReplicaSets, sum(s.ReplicaSets), s.Replicas)
	case s.ServiceTime <= 0:
		return fmt.Errorf("work: %v; a part takes some time", s.ServiceTime)
	}
	last, most := time.Duration(0), s.Coordinators
	for i, st := range s.Steps {
		if st.At < last {
			return fmt.Errorf("step %d at %v comes before the one above", i+1, st.At)
		}
		last, most = st.At, max(most, st.Resize)
		if err := st.validate(); err != nil {
			return fmt.Errorf("step %d at %v: %w", i+1, st.At, err)
		}
	}
	if s.Duration < last {
		return fmt.Errorf("lasts: %v is less than the last step's %v", s.Duration, last)
	}
	for i, st := range s.Steps {
		for _, names := range []struct {
			patterns string
			letter   string
			n        int
		}{{st.Suspend, "c", most}, {st.Reload, "c", most}, {st.Terminate, "c", most}, {st.Kill, "c", most}, {st.Stop, "c", most}, {st.Pause, "c", most}, {st.Resume, "c", most}, {st.Start, "c", most}, {st.Reconfigure, "c", most}, {st.Replica, "n", s.Replicas}} {
			if names.patterns != "" && len(match(names.patterns, names.letter, names.n)) == 0 {
				return fmt.Errorf("step %d at %v: nothing is named like %q", i+1, st.At, names.patterns)
			}
		}
	}
	return nil
}

func (st Step) validate() error {
	n := 0
	for _, set := range []bool{st.Suspend != "", st.Reload != "", st.Terminate != "", st.Discovery != "", st.Kill != "", st.Stop != "", st.Pause != "", st.Resume != "", st.Start != "", st.Resize > 0, st.Link != "", st.Replica != ""} {
		if set {
			n++
		}
	}
	if n != 1 {
		return fmt.Errorf("does %d things; one step does one", n)
	}
	done := 0
	for _, set := range []bool{st.Cut != "", st.Heal, st.Reset, st.Delay > 0, st.Rate > 0, st.Drop > 0 || st.Duplicate > 0 || st.Reorder > 0} {
		if set {
			done++
		}
	}
	switch {
	case st.Link != "" && (done != 1 || len(strings.Fields(st.Link)) != 2):
		return fmt.Errorf("link %q wants FROM and TO, and one of cut, heal, reset, delay, rate, or lose, twice, swap", st.Link)
	case st.Link == "" && done > 0:
		return fmt.Errorf("no link is named")
	case st.Cut != "" && st.Cut != "there" && st.Cut != "back" && st.Cut != "both":
		return fmt.Errorf("cut %q is none of there, back, both", st.Cut)
	case st.Replica != "" && !slices.Contains(replicaStates, st.Becomes):
		return fmt.Errorf("becomes %q is none of %s", st.Becomes, strings.ReplaceAll(strings.Trim(fmt.Sprint(replicaStates), "[]"), " ", ", "))
	case st.Replica == "" && st.Becomes != "":
		return fmt.Errorf("no node is named")
	case st.Discovery != "" && !slices.Contains(discoveryModes, st.Discovery):
		return fmt.Errorf("discovery %q is none of %v", st.Discovery, discoveryModes)
	case st.Suspend == "" && st.Terminate == "" && st.For > 0:
		return fmt.Errorf("for goes with hold and term")
	case st.Resize == 0 && st.Reconfigure != "":
		return fmt.Errorf("told goes with grow")
	}
	return nil
}

// match lists which of n names with a letter some patterns mean.
func match(patterns, letter string, n int) (which []int) {
	for i := range n {
		for _, p := range strings.Fields(patterns) {
			if ok, _ := path.Match(p, fmt.Sprint(letter, i)); ok {
				which = append(which, i)
				break
			}
		}
	}
	return which
}
