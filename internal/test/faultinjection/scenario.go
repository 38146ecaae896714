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
	Name         string        `yaml:"name"`
	Coordinators int           `yaml:"coordinators"`
	Nodes        int           `yaml:"nodes"`   // each listed in a cell of its own, with three in a row for a section
	Clients      int           `yaml:"clients"` // of each coordinator
	Work         time.Duration `yaml:"work"`    // that a part takes a node
	Lasts        time.Duration `yaml:"lasts"`
	Sets         []int         `yaml:"sets"`     // where nodes form sets that hold the same sections: how many each has
	Push         bool          `yaml:"push"`     // lists come to an agent of each coordinator's own
	Overrides    Overrides     `yaml:"settings"` // that differ from the site's
	Deadline     time.Duration `yaml:"deadline"` // of all classes; as in the site's settings where it is 0
	Judged       int           `yaml:"judged"`   // clients of each coordinator that also leave, rest and stall, and excuse nothing but a kill
	Idle         int           `yaml:"idle"`     // connections to each coordinator that bring nothing
	Lost         int           `yaml:"lost"`     // requests that may be heard and never answered, by coordinators that are killed
	Steps        []Step        `yaml:"steps"`
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

	Hold   string        `yaml:"hold"`   // SIGSTOP for a moment (For), as on busy cores: no rule is eased for it
	Reload string        `yaml:"reload"` // SIGHUP
	Term   string        `yaml:"term"`   // SIGTERM, SIGKILL as soon as the platform may, and a start a time (For) after the end
	For    time.Duration `yaml:"for"`

	Discovery string `yaml:"discovery"` // sound, down, crowded or silent from now on

	Grow int    `yaml:"grow"` // or shrink, to so many coordinators; the last ones are stopped
	Told string `yaml:"told"` // who hears of the size now, by a reload; all others do at the next such step

	Link  string        `yaml:"link"` // "FROM TO"
	Cut   string        `yaml:"cut"`  // there, back or both: nothing arrives, and nothing is said
	Heal  bool          `yaml:"heal"`
	Reset bool          `yaml:"reset"`
	Delay time.Duration `yaml:"delay"` // of each piece
	Rate  int           `yaml:"rate"`  // bytes a second, at most
	Lose  float64       `yaml:"lose"`  // share of the nodes' answers that never arrive,
	Twice float64       `yaml:"twice"` // that arrive twice,
	Swap  float64       `yaml:"swap"`  // or after the next one

	Node    string    `yaml:"node"`
	Becomes NodeState `yaml:"becomes"` // drained, gone, back (a new process, cold), hung, failing, sound
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
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return s, nil
}

var nodeStates = []NodeState{nodeDrained, nodeGone, nodeBack, nodeHung, nodeFailing, nodeSound}

// check names the first thing that no fleet could be or do.
func (s *Scenario) check() error {
	switch {
	case s.Coordinators < 1 || s.Coordinators > 40:
		return fmt.Errorf("coordinators: %d; from 1 to 40 can be started", s.Coordinators)
	case s.Nodes < holdersPerSection || s.Nodes > 60:
		return fmt.Errorf("nodes: %d; from %d to 60 can be", s.Nodes, holdersPerSection)
	case s.Clients+s.Judged < 1:
		return fmt.Errorf("clients: %d; at least one has to ask", s.Clients)
	case len(s.Sets) > 0 && sum(s.Sets) != s.Nodes:
		return fmt.Errorf("sets: %v have %d nodes, not %d", s.Sets, sum(s.Sets), s.Nodes)
	case s.Work <= 0:
		return fmt.Errorf("work: %v; a part takes some time", s.Work)
	}
	last, most := time.Duration(0), s.Coordinators
	for i, st := range s.Steps {
		if st.At < last {
			return fmt.Errorf("step %d at %v comes before the one above", i+1, st.At)
		}
		last, most = st.At, max(most, st.Grow)
		if err := st.check(); err != nil {
			return fmt.Errorf("step %d at %v: %w", i+1, st.At, err)
		}
	}
	if s.Lasts < last {
		return fmt.Errorf("lasts: %v is less than the last step's %v", s.Lasts, last)
	}
	for i, st := range s.Steps {
		for _, names := range []struct {
			patterns string
			letter   string
			n        int
		}{{st.Hold, "c", most}, {st.Reload, "c", most}, {st.Term, "c", most}, {st.Kill, "c", most}, {st.Stop, "c", most}, {st.Pause, "c", most}, {st.Resume, "c", most}, {st.Start, "c", most}, {st.Told, "c", most}, {st.Node, "n", s.Nodes}} {
			if names.patterns != "" && len(match(names.patterns, names.letter, names.n)) == 0 {
				return fmt.Errorf("step %d at %v: nothing is named like %q", i+1, st.At, names.patterns)
			}
		}
	}
	return nil
}

func (st Step) check() error {
	n := 0
	for _, set := range []bool{st.Hold != "", st.Reload != "", st.Term != "", st.Discovery != "", st.Kill != "", st.Stop != "", st.Pause != "", st.Resume != "", st.Start != "", st.Grow > 0, st.Link != "", st.Node != ""} {
		if set {
			n++
		}
	}
	if n != 1 {
		return fmt.Errorf("does %d things; one step does one", n)
	}
	done := 0
	for _, set := range []bool{st.Cut != "", st.Heal, st.Reset, st.Delay > 0, st.Rate > 0, st.Lose > 0 || st.Twice > 0 || st.Swap > 0} {
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
	case st.Node != "" && !slices.Contains(nodeStates, st.Becomes):
		return fmt.Errorf("becomes %q is none of %s", st.Becomes, strings.ReplaceAll(strings.Trim(fmt.Sprint(nodeStates), "[]"), " ", ", "))
	case st.Node == "" && st.Becomes != "":
		return fmt.Errorf("no node is named")
	case st.Discovery != "" && !slices.Contains(discoveryModes, st.Discovery):
		return fmt.Errorf("discovery %q is none of %v", st.Discovery, discoveryModes)
	case st.Hold == "" && st.Term == "" && st.For > 0:
		return fmt.Errorf("for goes with hold and term")
	case st.Grow == 0 && st.Told != "":
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
