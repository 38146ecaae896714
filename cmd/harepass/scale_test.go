package main

import (
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"harepass/internal/test/scaletest"
)

// playPlan plays a plan with real processes of this test binary.
func playPlan(t *testing.T, ctx context.Context, plan *scaletest.Plan, log io.Writer) (*scaletest.Result, error) {
	t.Helper()
	self := []string{os.Args[0]}
	return scaletest.Run(ctx, plan, scaletest.Config{Dir: t.TempDir(), Program: self, Lab: self,
		Env: []string{asProgram}, Settings: exampleSettings(t), Log: log})
}

// The scale run at small size: real coordinators, relays and an authority beside hollow coordinators, through a killed
// relay, a region that is cut off and a zone that goes. Every change reaches every member, and no rule is broken.
func TestScaleRun(t *testing.T) {
	plan, err := scaletest.LoadPlan("../../internal/test/scaletest/plans/small.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var log strings.Builder
	result, err := playPlan(t, t.Context(), plan, &log)
	if err != nil {
		t.Fatalf("%v: %+v\n%s", err, result, log.String())
	}
	if len(result.MissedBounds) > 0 || result.List.Never+result.Settings.Never > 0 {
		t.Errorf("missed %q, list %+v, settings %+v", result.MissedBounds, result.List, result.Settings)
	}
	if result.Started.Samples != plan.Coordinators || result.List.Changes == 0 ||
		result.List.Samples != result.List.Changes*plan.Coordinators {
		t.Errorf("of %d members: started %+v, list %+v", plan.Coordinators, result.Started, result.List)
	}
	for _, trouble := range result.Faults {
		if trouble.Recovered.Samples != plan.Coordinators || trouble.Recovered.Never > 0 {
			t.Errorf("%s: %+v", trouble.Description, trouble.Recovered)
		}
	}
	if len(result.Faults) != len(plan.Faults) || result.Parts == 0 || result.Requests["200"] == 0 {
		t.Errorf("%d troubles, %d parts, requests %v", len(result.Faults), result.Parts, result.Requests)
	}
}

// lineCanceller cancels a run once its log has a line.
type lineCanceller struct {
	line   string
	cancel func()
}

// Write implements io.Writer.
func (c lineCanceller) Write(p []byte) (int, error) {
	if strings.Contains(string(p), c.line) {
		c.cancel()
	}
	return len(p), nil
}

// A run is interrupted amid its changes. It ends every process that it has started.
func TestScaleRunEndsItsProcesses(t *testing.T) {
	plan, err := scaletest.LoadPlan("../../internal/test/scaletest/plans/small.yaml")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	if _, err := playPlan(t, ctx, plan, lineCanceller{scaletest.FaultBegan, cancel}); !errors.Is(err, context.Canceled) {
		t.Errorf("an interrupted run ends with %v", err)
	}
	lists, err := filepath.Glob("/proc/self/task/*/children")
	if err != nil || len(lists) == 0 {
		t.Fatalf("the system lists no children: %v", err)
	}
	for _, list := range lists {
		if children, _ := os.ReadFile(list); len(children) > 0 {
			t.Errorf("processes %s still run", children)
		}
	}
}
