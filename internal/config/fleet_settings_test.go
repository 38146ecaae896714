package config

import (
	"encoding/json"
	"strings"
	"testing"
)

// A coordinator keeps its own ordinal and zone under the settings of a whole fleet.
func TestFleetSettingsKeepOwnKeys(t *testing.T) {
	for _, tc := range []struct{ fleet, own, want string }{
		{`{"balancers":3,"me":0}`, `{"balancers":2,"me":7,"zone":"a"}`, `{"balancers":3,"me":7,"zone":"a"}`},
		{`{"balancers":3,"me":0}`, `{"balancers":2}`, `{"balancers":3}`},
	} {
		got, err := withOwnKeys(json.RawMessage(tc.fleet), json.RawMessage(tc.own))
		if err != nil || string(got) != tc.want {
			t.Errorf("fleet settings %s, own settings %s: got %s, error %v", tc.fleet, tc.own, got, err)
		}
	}
	for _, bad := range []string{`null`, `[]`, `7`, `{`} {
		if got, err := withOwnKeys(json.RawMessage(bad), json.RawMessage(`{}`)); err == nil {
			t.Errorf("fleet settings %s are accepted as %s", bad, got)
		}
	}
}

// An authority checks settings by the same rules as a reload.
func TestFleetSettingsAreCheckedAsReloads(t *testing.T) {
	old := exampleSettings(t)
	if changes, err := CheckFleetSettings(nil, old); err != nil || len(changes) != 0 {
		t.Errorf("example settings: changes %v, error %v; want none", changes, err)
	}
	for what, next := range map[string]string{"no JSON": "{", "no object": "5", "empty": "{}",
		"a key less": strings.Replace(string(old), `"connect_timeout_us"`, `"connect_timeout"`, 1)} {
		if changes, err := CheckFleetSettings(old, json.RawMessage(next)); err == nil {
			t.Errorf("settings case %q: accepted with changes %v", what, changes)
		}
	}
}
