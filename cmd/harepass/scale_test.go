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

// playPlan runs a plan with real processes of this test binary.
func playPlan(t *testing.T, ctx context.Context, plan *scaletest.Plan, log io.Writer) (*scaletest.Result, error) {
	t.Helper()
	self := []string{os.Args[0]}
	return scaletest.Run(ctx, plan, scaletest.Config{Dir: t.TempDir(), Program: self, Lab: self,
		Env: []string{asProgram}, Settings: exampleSettings(t), Log: log})
}

// A small scale run: real coordinators, relays and an authority run beside hollow coordinators while a relay is killed,
// a region is cut off and a zone is lost. Every change reaches every member, and no rule is broken.
func TestScaleRun(t *testing.T) {
	plan, err := scaletest.LoadPlan("../../internal/test/scaletest/plans/small.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var log strings.Builder
	result, err := playPlan(t, t.Context(), plan, &log)
	if err != nil {
		t.Fatalf("scale run: %v; result %+v\n%s", err, result, log.String())
	}
	if len(result.MissedBounds) > 0 || result.List.Never+result.Settings.Never > 0 {
		t.Errorf("missed bounds %q, list %+v, settings %+v", result.MissedBounds, result.List, result.Settings)
	}
	if result.Started.Samples != plan.Coordinators || result.List.Changes == 0 ||
		result.List.Samples != result.List.Changes*plan.Coordinators {
		t.Errorf("%d members: started %+v, list %+v", plan.Coordinators, result.Started, result.List)
	}
	for _, fault := range result.Faults {
		if fault.Recovered.Samples != plan.Coordinators || fault.Recovered.Never > 0 {
			t.Errorf("fault %q: recovery %+v, want a sample of every member", fault.Description, fault.Recovered)
		}
	}
	if len(result.Faults) != len(plan.Faults) || result.Parts == 0 || result.Requests["200"] == 0 {
		t.Errorf("%d faults, %d parts, requests by outcome %v", len(result.Faults), result.Parts, result.Requests)
	}
}

// lineCanceller is a log writer that cancels a run once the log contains a line.
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

// A run that is interrupted during its changes ends every process that it has started.
func TestScaleRunEndsItsProcesses(t *testing.T) {
	plan, err := scaletest.LoadPlan("../../internal/test/scaletest/plans/small.yaml")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	if _, err := playPlan(t, ctx, plan, lineCanceller{scaletest.FaultBegan, cancel}); !errors.Is(err, context.Canceled) {
		t.Errorf("interrupted run: error %v, want context.Canceled", err)
	}
	lists, err := filepath.Glob("/proc/self/task/*/children")
	if err != nil || len(lists) == 0 {
		t.Fatalf("the system has no files with child processes: %v", err)
	}
	for _, list := range lists {
		if children, _ := os.ReadFile(list); len(children) > 0 {
			t.Errorf("child processes %s still run", children)
		}
	}
}
