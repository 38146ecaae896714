package scatter

import (
	"strings"
	"testing"
)

func TestImpossibleSettingsAreNamed(t *testing.T) {
	for field, invalidate := range map[string]func(*Settings){
		"Coordinators":                func(s *Settings) { s.Coordinators = 0 },
		"RingSize":                    func(s *Settings) { s.RingSize = 0 },
		"ReplicationFactor":           func(s *Settings) { s.ReplicationFactor = 2 },
		"PartsPerCall":                func(s *Settings) { s.PartsPerCall = 0 },
		"MaxAttempts":                 func(s *Settings) { s.MaxAttempts = 0 },
		"Classes":                     func(s *Settings) { s.Classes = nil },
		"SlowStart.InitialCapacity":   func(s *Settings) { s.SlowStart.InitialCapacity = 2 },
		"RetryBudget":                 func(s *Settings) { s.RetryBudget = &RetryBudget{Ratio: -1} },
		"Classes[0].LatencyObjective": func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"Classes[0].CompleteFraction": func(s *Settings) { s.Classes[0].CompleteFraction = 0 },
		"Classes[0].MinFraction":      func(s *Settings) { s.Classes[0].MinFraction = 1.5 },
		"Classes[0].DedupWindow":      func(s *Settings) { s.Classes[0].Idempotency, s.Classes[0].DedupWindow = Keyed, -1 },
	} {
		s := base()
		invalidate(&s)
		if _, err := New(1, s); err == nil || !strings.Contains(err.Error(), " "+field+":") {
			t.Errorf("%s: error %v does not name the field", field, err)
		}
	}
	if _, err := New(1, base()); err != nil {
		t.Errorf("valid settings: error %v", err)
	}
}
