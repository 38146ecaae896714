package scaletest

import (
	"encoding/json"
	"errors"
	"time"
)

// Each version of the settings carries its number in two places that different parts of the program take over: whoever
// has different numbers there has half a version in force.
const (
	retryAfterBase = time.Second
	keepAliveBase  = 30 * time.Second
)

// plenty is a quota that no client of a run reaches.
const unreachableQuota = 10_000_000

// numbered words a version of the settings for a fleet.
func encodeSettings(site json.RawMessage, plan *Plan, number int64) ([]byte, error) {
	var settings map[string]any
	if err := json.Unmarshal(site, &settings); err != nil {
		return nil, err
	}
	family, _ := settings["family_info"].(map[string]any)
	caps, _ := settings["caps"].(map[string]any)
	rules, _ := settings["rules"].(map[string]any)
	if family == nil || caps == nil || rules == nil {
		return nil, errors.New("scale: the settings have no family_info, no caps or no rules")
	}
	settings["balancers"], settings["me"], settings["discovery"] = plan.Coordinators, 0, "ask"
	family["positions"], family["reach"], family["shards"] = plan.ringSize(), replicationFactor, plan.ringSize()
	rules["ask_every_us"] = listMaxAge.Microseconds()
	caps["max_retry_after_us"] = retryAfterBase.Microseconds() + number
	caps["keepalive_us"] = keepAliveBase.Microseconds() + number
	if customers, ok := settings["customers"].([]any); ok {
		for _, c := range customers {
			c.(map[string]any)["quota_per_s"] = unreachableQuota
		}
	}
	return json.MarshalIndent(settings, "", " ")
}

// numberOf reads the number back; whole is false where it is not the same in both places.
func decodeSettingsNumber(advice, keepAlive time.Duration) (number int64, whole bool) {
	number = (advice - retryAfterBase).Microseconds()
	return number, number == (keepAlive - keepAliveBase).Microseconds()
}
