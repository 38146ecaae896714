package scaletest

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"harepass/internal/test/fake"
)

// FaultBegan is the message in Config.Log when a fault begins, followed by a colon and the fault's description.
const FaultBegan = "fault began"

// probeDelay is the time from a fault's beginning to the probe that measures its effect.
const probeDelay = 50 * time.Millisecond

// faultRun records when and how a run injected a fault.
type faultRun struct {
	Fault
	description      string
	begin            time.Time
	end              time.Time // when the fault was undone; if it never is, shortly after beginFault returned
	isolatedRegion   int       // -1 where no region is isolated
	corruptedAnswers int       // set when the fault is undone
}

// runFaults injects the plan's faults at their times after began and returns once all have ended. Each fault ends in
// its own goroutine, so faults may overlap. If a fault cannot begin, runFaults injects no further ones.
func (f *fleet) runFaults(ctx context.Context, began time.Time) (faults []*faultRun, err error) {
	var ending sync.WaitGroup
	defer ending.Wait()
	var mu sync.Mutex
	var endErr error
	for _, fault := range f.plan.Faults {
		if err := f.waitUntil(ctx, began.Add(fault.At)); err != nil {
			return faults, err
		}
		run := &faultRun{Fault: fault, description: fault.String(), isolatedRegion: -1, begin: time.Now()}
		faults = append(faults, run)
		f.timeline.logf("%s: %s", FaultBegan, run.description)
		if err := f.beginFault(ctx, run); err != nil {
			return faults, err
		}
		ending.Go(func() {
			if err := f.awaitFaultEnd(ctx, run); err != nil {
				mu.Lock()
				endErr = err
				mu.Unlock()
			}
		})
	}
	ending.Wait()
	return faults, endErr
}

// String describes a fault.
func (fault Fault) String() string {
	description := ""
	switch {
	case fault.KillRelay != nil:
		description = fmt.Sprintf("relay %d killed", *fault.KillRelay)
	case fault.PauseRelay != nil:
		description = fmt.Sprintf("relay %d paused", *fault.PauseRelay)
	case fault.IsolateRegion != nil && fault.InboundOnly:
		description = fmt.Sprintf("region %d isolated inbound", *fault.IsolateRegion)
	case fault.IsolateRegion != nil:
		description = fmt.Sprintf("region %d isolated", *fault.IsolateRegion)
	case fault.RestartAll:
		description = "all members restarted at once"
	case fault.RemoveZone != nil:
		description = fmt.Sprintf("endpoints of zone %d removed", *fault.RemoveZone)
	case fault.CorruptAnswers != "":
		description = fmt.Sprintf("answers of relay 0 %s", fault.CorruptAnswers)
	case fault.Settings != "":
		description = fmt.Sprintf("%s settings", fault.Settings)
	}
	if fault.Duration > 0 {
		description += fmt.Sprintf(" for %v", fault.Duration)
	}
	return description
}

// beginFault injects a fault.
func (f *fleet) beginFault(ctx context.Context, run *faultRun) error {
	switch {
	case run.KillRelay != nil:
		f.relays[*run.KillRelay].process.kill()
	case run.PauseRelay != nil:
		return f.relays[*run.PauseRelay].process.signal(syscall.SIGSTOP)
	case run.IsolateRegion != nil:
		run.isolatedRegion = *run.IsolateRegion
		f.setIsolated(run.isolatedRegion, true)
		f.network.isolate(run.isolatedRegion, run.InboundOnly)
	case run.RestartAll:
		return f.restartAll(ctx)
	case run.RemoveZone != nil:
		f.setZoneStatus(*run.RemoveZone, fake.StatusTerminated)
	case run.CorruptAnswers != "":
		f.corruptingProxy.setCorruption(run.CorruptAnswers)
	case run.Settings != "":
		return f.reloadTruncatedSettings()
	}
	return nil
}

// awaitFaultEnd publishes a probe soon after a fault's beginning, undoes the fault when its duration has passed and
// publishes another probe. It omits the first probe for a removed zone, which itself is a change of the endpoint list,
// and for a restart of all members, which waits until they have both resources, the endpoint list and the settings.
// Until the fault is undone, run.end is provisional.
func (f *fleet) awaitFaultEnd(ctx context.Context, run *faultRun) error {
	if run.RemoveZone == nil && !run.RestartAll {
		if err := f.wait(ctx, probeDelay); err != nil {
			return err
		}
		f.publishProbe()
	}
	run.end = time.Now()
	if run.Duration <= 0 {
		return nil
	}
	if err := f.waitUntil(ctx, run.begin.Add(run.Duration)); err != nil {
		return err
	}
	err := f.endFault(run)
	run.end = time.Now()
	f.timeline.logf("fault ended: %s", run.description)
	f.publishProbe()
	return err
}

// endFault undoes a fault. A restart of all members leaves nothing to undo.
func (f *fleet) endFault(run *faultRun) error {
	switch {
	case run.KillRelay != nil:
		return f.restartControlProcess(f.relays[*run.KillRelay])
	case run.PauseRelay != nil:
		return f.relays[*run.PauseRelay].process.signal(syscall.SIGCONT)
	case run.IsolateRegion != nil:
		f.network.heal(run.isolatedRegion)
		f.setIsolated(run.isolatedRegion, false)
	case run.RemoveZone != nil:
		f.setZoneStatus(*run.RemoveZone, fake.StatusInService)
	case run.CorruptAnswers != "":
		f.corruptingProxy.setCorruption("")
		run.corruptedAnswers = f.corruptingProxy.corruptedCount()
	case run.Settings != "":
		return f.changeSettings()
	}
	return nil
}

// setIsolated records whether a region is isolated.
func (f *fleet) setIsolated(region int, isolated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolatedRegions[region] = isolated
}

// isIsolated reports whether a fault currently isolates a region.
func (f *fleet) isIsolated(region int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isolatedRegions[region]
}

// setZoneStatus publishes a status for all endpoints of a zone at the same instant.
func (f *fleet) setZoneStatus(zone int, status string) {
	var endpoints, answering []int
	for i := zone; i < f.plan.Endpoints; i += f.plan.Zones {
		endpoints = append(endpoints, i)
		if i < f.plan.Replicas {
			answering = append(answering, i)
		}
	}
	f.replicas.setAvailable(status == fake.StatusInService, answering...)
	f.publisher.publishStatus(status, endpoints...)
	f.timeline.logf("status of %d endpoints of zone %d set to %s", len(endpoints), zone, status)
}

// restartAll kills all hosts and stops all real coordinators, starts all members at once, and waits until each member
// has the endpoint list and the settings.
func (f *fleet) restartAll(ctx context.Context) error {
	var stopping sync.WaitGroup
	for _, p := range f.hostProcesses {
		stopping.Go(p.kill)
	}
	f.mu.Lock()
	realProcesses := f.realProcesses
	f.realProcesses = map[string]*process{}
	f.mu.Unlock()
	errs := make(chan error, len(realProcesses))
	for _, p := range realProcesses {
		stopping.Go(func() { errs <- p.stop() })
	}
	stopping.Wait()
	for range realProcesses {
		if err := <-errs; err != nil {
			return err
		}
	}
	if err := f.startMembers(); err != nil {
		return err
	}
	return f.awaitMembers(ctx)
}
