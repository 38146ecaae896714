package loadgen

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validPlan = `
target: http://127.0.0.1:9
time: 1s
rate: 10
classes: [{name: a, share: 1, index: x, of: 3, aim: 1s, timeout: 2s}]
tenants: [{name: t, share: 1}]
`

// An invalid plan, such as one that targets another machine or has an unknown key, is rejected before any traffic
// begins. Its error wraps ErrInvalidPlan, which distinguishes it from the error for an unreadable file.
func TestReadPlanRefusesInvalidPlans(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		valid bool
	}{
		"valid":            {validPlan, true},
		"remote target":    {strings.Replace(validPlan, "127.0.0.1", "192.0.2.1", 1), false},
		"unknown key":      {validPlan + "speed: 3\n", false},
		"too many retries": {validPlan + "retries: 11\n", false},
		"empty":            {"{}\n", false},
	} {
		path := filepath.Join(t.TempDir(), "plan.yaml")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadPlan(path); errors.Is(err, ErrInvalidPlan) == c.valid || c.valid && err != nil {
			t.Errorf("plan %q: error %v, valid is %t", name, err, c.valid)
		}
	}
	if _, err := ReadPlan(filepath.Join(t.TempDir(), "missing")); err == nil || errors.Is(err, ErrInvalidPlan) {
		t.Errorf("missing file: error %v, want one that does not wrap ErrInvalidPlan", err)
	}
}
