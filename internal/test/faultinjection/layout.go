package faultinjection

import (
	"encoding/json"
	"fmt"
	"time"
)

const pollPeriod = 10 * time.Second // where lists are asked for: when one that does not ask counts as told all the same

// Overrides are values of the site's settings that a scenario has otherwise: by the object that they are in, then by key.
type Overrides struct {
	Caps             map[string]any     `yaml:"caps"`
	Rules            map[string]any     `yaml:"rules"`
	CompleteFraction map[string]float64 `yaml:"need"`   // by class: the share of the parts that makes a whole answer
	DedupWindow      map[string]int     `yaml:"window"` // by class: microseconds for which its repeats are dropped
}

// settings are the site's, as this scenario has them.
func (s *Scenario) overrideSettings(data []byte) ([]byte, error) {
	var all map[string]any
	if err := json.Unmarshal(data, &all); err != nil {
		return nil, err
	}
	object := func(name string) map[string]any {
		o, _ := all[name].(map[string]any)
		if o == nil {
			o = map[string]any{}
			all[name] = o
		}
		return o
	}
	family, rules, caps := object("family_info"), object("rules"), object("caps")
	all["discovery"] = "push"
	if !s.Push {
		all["discovery"], rules["ask_every_us"] = "ask", pollPeriod.Microseconds()
	}
	family["positions"], family["reach"], family["shards"] = s.ringSize(), s.replicationFactor(), s.shards()
	if s.Deadline > 0 {
		s.shortenDeadlines(all)
	}
	for key, value := range s.Overrides.Caps {
		caps[key] = value
	}
	for key, value := range s.Overrides.Rules {
		rules[key] = value
	}
	return s.Overrides.overrideClasses(all, family)
}

// shorten gives all classes the scenario's deadline.
func (s *Scenario) shortenDeadlines(all map[string]any) {
	classes, _ := all["classes"].([]any)
	for _, raw := range classes {
		if c, ok := raw.(map[string]any); ok {
			aim, _ := c["objective_us"].(float64)
			c["hard_limit_us"] = s.Deadline.Microseconds()
			c["objective_us"] = min(int64(aim), s.Deadline.Microseconds()/2)
		}
	}
}

// classes sets what is said of single classes.
func (o Overrides) overrideClasses(all, family map[string]any) ([]byte, error) {
	classes, _ := all["classes"].([]any)
	needs, _ := family["need_by_class"].([]any)
	found := 0
	for i, raw := range classes {
		c, _ := raw.(map[string]any)
		name, _ := c["name"].(string)
		if need, set := o.CompleteFraction[name]; set && i < len(needs) {
			needs[i] = need
			found++
		}
		if window, set := o.DedupWindow[name]; set {
			c["dedup_window_us"] = window
			found++
		}
	}
	if found < len(o.CompleteFraction)+len(o.DedupWindow) {
		return nil, fmt.Errorf("rig: need %v or window %v is of no class", o.CompleteFraction, o.DedupWindow)
	}
	return json.MarshalIndent(all, "", " ")
}

// cell is that of a node: a cell of its own, or that of its set.
func (s *Scenario) ringPosition(node int) int {
	if len(s.ReplicaSets) == 0 {
		return node
	}
	for set, size := range s.ReplicaSets {
		if node -= size; node < 0 {
			return set
		}
	}
	return len(s.ReplicaSets)
}

func (s *Scenario) ringSize() int {
	if len(s.ReplicaSets) == 0 {
		return s.Replicas
	}
	return len(s.ReplicaSets)
}

func (s *Scenario) replicationFactor() int {
	if len(s.ReplicaSets) == 0 {
		return holdersPerShard
	}
	return 1
}

// sections is how many there are.
func (s *Scenario) shards() int {
	if len(s.ReplicaSets) == 0 {
		return s.Replicas
	}
	return shardsPerSet * len(s.ReplicaSets)
}

// holds tells whether a node holds a section.
func (s *Scenario) holds(n *fleetReplica, section int) bool {
	return ((s.ringPosition(n.number)-section)%s.ringSize()+s.ringSize())%s.ringSize() < s.replicationFactor()
}

func sum(list []int) (n int) {
	for _, x := range list {
		n += x
	}
	return n
}
