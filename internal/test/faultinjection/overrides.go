package faultinjection

import (
	"encoding/json"
	"fmt"
	"time"
)

// pollPeriod is the interval at which a coordinator that polls discovery may poll.
const pollPeriod = 10 * time.Second

// Overrides are the settings that a scenario changes from the site's, by the object that contains them, then by key.
type Overrides struct {
	// Caps replaces values of the settings' caps object, by key.
	Caps map[string]any `yaml:"caps"`
	// Rules replaces values of the settings' rules object, by key.
	Rules map[string]any `yaml:"rules"`
	// CompleteFraction is the share of the parts that makes an answer complete, by class.
	CompleteFraction map[string]float64 `yaml:"need"`
	// DedupWindow is how many microseconds replicas drop repeats for, by class.
	DedupWindow map[string]int `yaml:"window"`
}

// overrideSettings returns the site's settings, as JSON, with the scenario's fleet, ring, discovery and overrides. The
// error wraps ErrInvalidScenario if an override names an unknown class; other errors come from JSON.
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

// object returns the object under a key of the settings. It adds an empty one if there is none.
func object(settings map[string]any, key string) map[string]any {
	o, _ := settings[key].(map[string]any)
	if o == nil {
		o = map[string]any{}
		settings[key] = o
	}
	return o
}

// overrideDeadlines gives every class the scenario's deadline, and lowers its latency objective to at most half of it.
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

// overrideClasses sets the overridden complete fractions and deduplication windows of single classes.
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
		return fmt.Errorf("%w: need %v or window %v names a class that the settings do not have",
			ErrInvalidScenario, o.CompleteFraction, o.DedupWindow)
	}
	return nil
}
