package faultinjection

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// maxCoordinators is how many coordinator processes a machine of the laboratory can start.
	maxCoordinators = 40
	// maxReplicas is the largest number of replicas of a fleet.
	maxReplicas = 60
)

// validate returns an error for the first value or step that no fleet can have or execute.
func (s *Scenario) validate() error {
	switch {
	case s.Coordinators < 1 || s.Coordinators > maxCoordinators:
		return fmt.Errorf("coordinators: %d is not in the range from 1 to %d", s.Coordinators, maxCoordinators)
	case s.Replicas < holdersPerShard || s.Replicas > maxReplicas:
		return fmt.Errorf("nodes: %d is not in the range from %d to %d", s.Replicas, holdersPerShard, maxReplicas)
	case s.Clients+s.StrictClients < 1:
		return fmt.Errorf("clients: %d; clients and judged together must be at least 1", s.Clients)
	case len(s.ReplicaSets) > 0 && sum(s.ReplicaSets) != s.Replicas:
		return fmt.Errorf("sets: %v have %d nodes, not %d", s.ReplicaSets, sum(s.ReplicaSets), s.Replicas)
	case s.ServiceTime <= 0:
		return fmt.Errorf("work: %v; the service time of a part must be above 0", s.ServiceTime)
	}
	if err := s.validateSteps(); err != nil {
		return err
	}
	for i, st := range s.Steps {
		if patterns := st.unmatchedName(s.peakCoordinators(), s.Replicas); patterns != "" {
			return fmt.Errorf("step %d at %v: no match for %q among coordinators or replicas", i+1, st.At, patterns)
		}
	}
	return nil
}

// validateSteps validates each step by itself, and that the steps are in order of time and within the scenario's
// duration.
func (s *Scenario) validateSteps() error {
	var previous time.Duration
	for i, st := range s.Steps {
		if st.At < previous {
			return fmt.Errorf("step %d at %v comes before the step above it", i+1, st.At)
		}
		previous = st.At
		if err := st.validate(); err != nil {
			return fmt.Errorf("step %d at %v: %w", i+1, st.At, err)
		}
	}
	if s.Duration < previous {
		return fmt.Errorf("lasts: %v is less than the last step's time %v", s.Duration, previous)
	}
	return nil
}

// unmatchedName returns the first field of the step whose patterns match none of the coordinators or replicas, given
// the number of each; empty if there is none. The patterns of links are checked when the step is executed.
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

// countTrue returns how many conditions are true.
func countTrue(conditions ...bool) (n int) {
	for _, holds := range conditions {
		if holds {
			n++
		}
	}
	return n
}

// actions returns the number of actions of the step; a valid step has one.
func (st Step) actions() int {
	return countTrue(st.Suspend != "", st.Reload != "", st.Terminate != "", st.Discovery != "", st.Kill != "",
		st.Stop != "", st.Pause != "", st.Resume != "", st.Start != "", st.Resize > 0, st.Link != "", st.Replica != "")
}

// linkActions returns the number of actions of the step on links. The faults of single messages count as one action.
func (st Step) linkActions() int {
	messageFaults := st.Drop > 0 || st.Duplicate > 0 || st.Reorder > 0
	return countTrue(st.Cut != "", st.Heal, st.Reset, st.Delay > 0, st.Rate > 0, messageFaults)
}

// validate returns an error for the first field that is invalid in the step, regardless of other steps.
func (st Step) validate() error {
	if n := st.actions(); n != 1 {
		return fmt.Errorf("has %d actions; a step must have exactly one", n)
	}
	if err := st.validateLink(); err != nil {
		return err
	}
	switch {
	case st.Replica != "" && !slices.Contains(replicaStates, st.Becomes):
		names := strings.ReplaceAll(strings.Trim(fmt.Sprint(replicaStates), "[]"), " ", ", ")
		return fmt.Errorf("becomes %q is not one of %s", st.Becomes, names)
	case st.Replica == "" && st.Becomes != "":
		return fmt.Errorf("becomes is only valid with node")
	case st.Discovery != "" && !slices.Contains(discoveryModes, st.Discovery):
		return fmt.Errorf("discovery %q is not one of %v", st.Discovery, discoveryModes)
	case st.Suspend == "" && st.Terminate == "" && st.For > 0:
		return fmt.Errorf("for is only valid with hold or term")
	case st.Resize == 0 && st.Reconfigure != "":
		return fmt.Errorf("told is only valid with grow")
	}
	return nil
}

// validateLink returns an error if the step's link is malformed, or its actions on links are not valid with it.
func (st Step) validateLink() error {
	switch {
	case st.Link != "" && (st.linkActions() != 1 || len(strings.Fields(st.Link)) != 2):
		return fmt.Errorf(
			"link %q needs FROM and TO, and one of cut, heal, reset, delay, rate, or any of lose, twice, swap",
			st.Link)
	case st.Link == "" && st.linkActions() > 0:
		return fmt.Errorf("cut, heal, reset, delay, rate, lose, twice and swap are only valid with link")
	case st.Cut != "" && !slices.Contains([]string{cutToServer, cutToClient, cutBoth}, st.Cut):
		return fmt.Errorf("cut %q is not one of there, back, both", st.Cut)
	}
	return nil
}
