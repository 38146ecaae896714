package scaletest

import (
	"encoding/json"
	"fmt"
	"time"
)

// Each version of the settings carries its number in two settings that different parts of the program put in force. If
// the two numbers differ in a coordinator, it has settings of two versions in force.
const (
	retryAfterBase = time.Second      // caps.max_retry_after_us of version 0; version n has n microseconds more
	keepAliveBase  = 30 * time.Second // caps.keepalive_us of version 0; version n has n microseconds more
)

// unreachableQuota is a tenant's quota, in queries per second, that the clients of a run never reach.
const unreachableQuota = 10_000_000

// encodeSettings returns a version of the settings for a fleet: the site's settings with the plan's ring, the fleet
// size, listMaxAge, unreachableQuota and the version's number. The error wraps ErrInvalidSettings if the site's
// settings lack an object that is changed.
func encodeSettings(site json.RawMessage, plan *Plan, number int64) ([]byte, error) {
	var settings map[string]any
	if err := json.Unmarshal(site, &settings); err != nil {
		return nil, err
	}
	family, _ := settings["family_info"].(map[string]any)
	caps, _ := settings["caps"].(map[string]any)
	rules, _ := settings["rules"].(map[string]any)
	if family == nil || caps == nil || rules == nil {
		return nil, fmt.Errorf("%w: family_info, caps and rules must each be an object", ErrInvalidSettings)
	}
	settings["balancers"], settings["me"], settings["discovery"] = plan.Coordinators, 0, "ask"
	family["positions"], family["reach"], family["shards"] = plan.ringSize(), replicationFactor, plan.ringSize()
	rules["ask_every_us"] = listMaxAge.Microseconds()
	caps["max_retry_after_us"] = retryAfterBase.Microseconds() + number
	caps["keepalive_us"] = keepAliveBase.Microseconds() + number
	if tenants, ok := settings["customers"].([]any); ok {
		for _, tenant := range tenants {
			tenant.(map[string]any)["quota_per_s"] = unreachableQuota
		}
	}
	return json.MarshalIndent(settings, "", " ")
}

// decodeSettingsNumber returns the version number that retryAfter carries. consistent is false if keepAlive carries a
// different one.
func decodeSettingsNumber(retryAfter, keepAlive time.Duration) (number int64, consistent bool) {
	number = (retryAfter - retryAfterBase).Microseconds()
	return number, number == (keepAlive - keepAliveBase).Microseconds()
}
