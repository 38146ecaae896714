package faultinjection

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// maxCoordinators is how many processes a machine of the laboratory can start.
	maxCoordinators = 40
	// maxReplicas is how many replicas a fleet can have.
	maxReplicas = 60
)

// validate returns an error for the first thing that no fleet could be or do.
func (s *Scenario) validate() error {
	switch {
	case s.Coordinators < 1 || s.Coordinators > maxCoordinators:
		return fmt.Errorf("coordinators: %d; from 1 to %d can be started", s.Coordinators, maxCoordinators)
	case s.Replicas < holdersPerShard || s.Replicas > maxReplicas:
		return fmt.Errorf("nodes: %d; from %d to %d can be", s.Replicas, holdersPerShard, maxReplicas)
	case s.Clients+s.StrictClients < 1:
		return fmt.Errorf("clients: %d; at least one has to ask", s.Clients)
	case len(s.ReplicaSets) > 0 && sum(s.ReplicaSets) != s.Replicas:
		return fmt.Errorf("sets: %v have %d nodes, not %d", s.ReplicaSets, sum(s.ReplicaSets), s.Replicas)
	case s.ServiceTime <= 0:
		return fmt.Errorf("work: %v; a part takes some time", s.ServiceTime)
	}
	if err := s.validateSteps(); err != nil {
		return err
	}
	for i, st := range s.Steps {
		if patterns := st.unmatchedName(s.peakCoordinators(), s.Replicas); patterns != "" {
			return fmt.Errorf("step %d at %v: nothing is named like %q", i+1, st.At, patterns)
		}
	}
	return nil
}

// validateSteps checks each step by itself, and that they are in order of time and within the scenario's duration.
func (s *Scenario) validateSteps() error {
	var previous time.Duration
	for i, st := range s.Steps {
		if st.At < previous {
			return fmt.Errorf("step %d at %v comes before the one above", i+1, st.At)
		}
		previous = st.At
		if err := st.validate(); err != nil {
			return fmt.Errorf("step %d at %v: %w", i+1, st.At, err)
		}
	}
	if s.Duration < previous {
		return fmt.Errorf("lasts: %v is less than the last step's %v", s.Duration, previous)
	}
	return nil
}

// unmatchedName is the first of the step's patterns that match no coordinator or replica, of so many of each; empty
// where there is none. Patterns of links are looked at when the step is played.
func (st Step) unmatchedName(coordinators, replicas int) string {
	for _, patterns := range []string{
		st.Suspend, st.Reload, st.Terminate, st.Kill, st.Stop, st.Pause, st.Resume, st.Start, st.Reconfigure,
	} {
		if patterns != "" && len(match(patterns, "c", coordinators)) == 0 {
			return patterns
		}
	}
	if st.Replica != "" && len(match(st.Replica, "n", replicas)) == 0 {
		return st.Replica
	}
	return ""
}

// countTrue counts how many conditions hold.
func countTrue(conditions ...bool) (n int) {
	for _, holds := range conditions {
		if holds {
			n++
		}
	}
	return n
}

// actions counts the actions of the step, of which it must have one.
func (st Step) actions() int {
	return countTrue(st.Suspend != "", st.Reload != "", st.Terminate != "", st.Discovery != "", st.Kill != "",
		st.Stop != "", st.Pause != "", st.Resume != "", st.Start != "", st.Resize > 0, st.Link != "", st.Replica != "")
}

// linkActions counts what the step does to links. Faults of single messages go together.
func (st Step) linkActions() int {
	messageFaults := st.Drop > 0 || st.Duplicate > 0 || st.Reorder > 0
	return countTrue(st.Cut != "", st.Heal, st.Reset, st.Delay > 0, st.Rate > 0, messageFaults)
}

// validate returns an error for the first thing that no single step can do.
func (st Step) validate() error {
	if n := st.actions(); n != 1 {
		return fmt.Errorf("does %d things; one step does one", n)
	}
	if err := st.validateLink(); err != nil {
		return err
	}
	switch {
	case st.Replica != "" && !slices.Contains(replicaStates, st.Becomes):
		names := strings.ReplaceAll(strings.Trim(fmt.Sprint(replicaStates), "[]"), " ", ", ")
		return fmt.Errorf("becomes %q is none of %s", st.Becomes, names)
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

// validateLink returns an error where the step's link and what happens to it do not go together.
func (st Step) validateLink() error {
	switch {
	case st.Link != "" && (st.linkActions() != 1 || len(strings.Fields(st.Link)) != 2):
		return fmt.Errorf("link %q wants FROM and TO, and one of cut, heal, reset, delay, rate, or lose, twice, swap",
			st.Link)
	case st.Link == "" && st.linkActions() > 0:
		return fmt.Errorf("no link is named")
	case st.Cut != "" && !slices.Contains([]string{cutToServer, cutToClient, cutBoth}, st.Cut):
		return fmt.Errorf("cut %q is none of there, back, both", st.Cut)
	}
	return nil
}
