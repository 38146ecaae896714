package faultinjection

import (
	"encoding/json"
	"fmt"
	"time"
)

// pollPeriod is how often a coordinator that polls discovery may do so.
const pollPeriod = 10 * time.Second

// Overrides are settings that a scenario has otherwise than the site: by the object that they are in, then by key.
type Overrides struct {
	// Caps are keys of the settings' caps.
	Caps map[string]any `yaml:"caps"`
	// Rules are keys of the settings' rules.
	Rules map[string]any `yaml:"rules"`
	// CompleteFraction is, by class, the share of the parts that makes a complete answer.
	CompleteFraction map[string]float64 `yaml:"need"`
	// DedupWindow is, by class, for how many microseconds replicas drop a repeat.
	DedupWindow map[string]int `yaml:"window"`
}

// overrideSettings returns the site's settings, as JSON, as this scenario has them. The error wraps ErrInvalidScenario
// where an override is of no class, and is that of JSON otherwise.
func (s *Scenario) overrideSettings(data []byte) ([]byte, error) {
	var settings map[string]any
	if err := json.Unmarshal(data, &settings); err != nil {
		return nil, err
	}
	family, rules, caps := object(settings, "family_info"), object(settings, "rules"), object(settings, "caps")
	settings["discovery"] = "push"
	if !s.Push {
		settings["discovery"], rules["ask_every_us"] = "ask", pollPeriod.Microseconds()
	}
	family["positions"], family["reach"], family["shards"] = s.ringSize(), s.replicationFactor(), s.shards()
	if s.Deadline > 0 {
		s.overrideDeadlines(settings)
	}
	for key, value := range s.Overrides.Caps {
		caps[key] = value
	}
	for key, value := range s.Overrides.Rules {
		rules[key] = value
	}
	if err := s.Overrides.overrideClasses(settings, family); err != nil {
		return nil, err
	}
	return json.MarshalIndent(settings, "", " ")
}

// object is the object under a key of the settings, which is added where there is none.
func object(settings map[string]any, key string) map[string]any {
	o, _ := settings[key].(map[string]any)
	if o == nil {
		o = map[string]any{}
		settings[key] = o
	}
	return o
}

// overrideDeadlines gives all classes the scenario's deadline, and a latency objective of at most half of it.
func (s *Scenario) overrideDeadlines(settings map[string]any) {
	classes, _ := settings["classes"].([]any)
	for _, raw := range classes {
		if c, ok := raw.(map[string]any); ok {
			objective, _ := c["objective_us"].(float64)
			c["hard_limit_us"] = s.Deadline.Microseconds()
			c["objective_us"] = min(int64(objective), s.Deadline.Microseconds()/2)
		}
	}
}

// overrideClasses sets what is overridden of single classes.
func (o Overrides) overrideClasses(settings, family map[string]any) error {
	classes, _ := settings["classes"].([]any)
	fractions, _ := family["need_by_class"].([]any)
	found := 0
	for i, raw := range classes {
		c, _ := raw.(map[string]any)
		name, _ := c["name"].(string)
		if fraction, set := o.CompleteFraction[name]; set && i < len(fractions) {
			fractions[i] = fraction
			found++
		}
		if window, set := o.DedupWindow[name]; set {
			c["dedup_window_us"] = window
			found++
		}
	}
	if found < len(o.CompleteFraction)+len(o.DedupWindow) {
		return fmt.Errorf("%w: need %v or window %v is of no class",
			ErrInvalidScenario, o.CompleteFraction, o.DedupWindow)
	}
	return nil
}
