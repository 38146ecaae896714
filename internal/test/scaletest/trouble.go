package scaletest

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"harepass/internal/test/fake"
)

// occurrence is a trouble as it was played.
type faultRun struct {
	Fault
	description      string
	begin, end       time.Time
	isolatedRegion   int // that is cut off; -1 for none
	corruptedAnswers int // answers
}

// probeAfter is how long after a trouble's beginning a change is published.
const probeAfter = 50 * time.Millisecond

// play plays the troubles at their times; those that last end by themselves.
func (f *fleet) playFaults(ctx context.Context, began time.Time) (played []*faultRun, err error) {
	var lasting sync.WaitGroup
	defer lasting.Wait()
	var mu sync.Mutex
	var failed error
	for _, t := range f.plan.Faults {
		if err := f.pauseUntil(ctx, began.Add(t.At)); err != nil {
			return played, err
		}
		o := &faultRun{Fault: t, description: t.String(), isolatedRegion: -1, begin: time.Now()}
		played = append(played, o)
		f.timeline.note("trouble: %s", o.description)
		if err := f.beginFault(ctx, o); err != nil {
			return played, err
		}
		lasting.Go(func() {
			if err := f.awaitFaultEnd(ctx, o); err != nil {
				mu.Lock()
				failed = err
				mu.Unlock()
			}
		})
	}
	lasting.Wait()
	return played, failed
}

// String names a trouble.
func (t Fault) String() string {
	what := ""
	switch {
	case t.KillRelay != nil:
		what = fmt.Sprintf("relay %d killed", *t.KillRelay)
	case t.PauseRelay != nil:
		what = fmt.Sprintf("relay %d paused", *t.PauseRelay)
	case t.IsolateRegion != nil && t.InboundOnly:
		what = fmt.Sprintf("nothing reaches region %d", *t.IsolateRegion)
	case t.IsolateRegion != nil:
		what = fmt.Sprintf("region %d cut off", *t.IsolateRegion)
	case t.RestartAll:
		what = "all members started at once"
	case t.RemoveZone != nil:
		what = fmt.Sprintf("the entries of zone %d gone", *t.RemoveZone)
	case t.CorruptAnswers != "":
		what = fmt.Sprintf("answers of relay 0 %s", t.CorruptAnswers)
	case t.Settings != "":
		what = fmt.Sprintf("%s settings", t.Settings)
	}
	if t.Duration > 0 {
		what += fmt.Sprintf(" for %v", t.Duration)
	}
	return what
}

// begin does what a trouble begins with.
func (f *fleet) beginFault(ctx context.Context, o *faultRun) error {
	switch {
	case o.KillRelay != nil:
		f.relays[*o.KillRelay].process.kill()
	case o.PauseRelay != nil:
		return f.relays[*o.PauseRelay].process.signal(syscall.SIGSTOP)
	case o.IsolateRegion != nil:
		o.isolatedRegion = *o.IsolateRegion
		f.setIsolated(o.isolatedRegion, true)
		f.network.isolate(o.isolatedRegion, o.InboundOnly)
	case o.RestartAll:
		return f.restartAll(ctx)
	case o.RemoveZone != nil:
		f.setZoneStatus(*o.RemoveZone, fake.StatusTerminated)
	case o.CorruptAnswers != "":
		f.corruptingProxy.setCorruption(o.CorruptAnswers) // counts anew
	case o.Settings != "":
		return f.writeInvalidSettings()
	}
	return nil
}

// endLater publishes a probe soon after the beginning, ends the trouble when its time is over, and publishes another.
func (f *fleet) awaitFaultEnd(ctx context.Context, o *faultRun) error {
	if o.RemoveZone == nil && !o.RestartAll {
		if err := f.pause(ctx, probeAfter); err != nil {
			return err
		}
		f.publishProbe()
	}
	o.end = time.Now()
	if o.Duration <= 0 {
		return nil
	}
	if err := f.pauseUntil(ctx, o.begin.Add(o.Duration)); err != nil {
		return err
	}
	err := f.endFault(o)
	o.end = time.Now()
	f.timeline.note("over: %s", o.description)
	f.publishProbe()
	return err
}

// finish ends a trouble that lasts.
func (f *fleet) endFault(o *faultRun) error {
	switch {
	case o.KillRelay != nil:
		return f.restartControlProcess(f.relays[*o.KillRelay])
	case o.PauseRelay != nil:
		return f.relays[*o.PauseRelay].process.signal(syscall.SIGCONT)
	case o.IsolateRegion != nil:
		f.network.heal(o.isolatedRegion)
		f.setIsolated(o.isolatedRegion, false)
	case o.RemoveZone != nil:
		f.setZoneStatus(*o.RemoveZone, fake.StatusInService)
	case o.CorruptAnswers != "":
		f.corruptingProxy.setCorruption("")
		o.corruptedAnswers = f.corruptingProxy.corruptedCount()
	case o.Settings != "":
		return f.changeSettings()
	}
	return nil
}

// cutOff notes that a region is cut off, or no more.
func (f *fleet) setIsolated(region int, yes bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolatedRegions[region] = yes
}

func (f *fleet) isIsolated(region int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isolatedRegions[region]
}

// changeZone gives all entries of a zone a status at once.
func (f *fleet) setZoneStatus(zone int, status string) {
	var which, answering []int
	for i := zone; i < f.plan.Endpoints; i += f.plan.Zones {
		which = append(which, i)
		if i < f.plan.Replicas {
			answering = append(answering, i)
		}
	}
	f.replicas.setAvailable(status == fake.StatusInService, answering...)
	f.publisher.publishStatus(status, which...)
	f.timeline.note("%d entries of zone %d: %s", len(which), zone, status)
}

// restartAll ends all members, real ones as planned, starts them at once and waits until all have list and settings.
func (f *fleet) restartAll(ctx context.Context) error {
	var ending sync.WaitGroup
	for _, p := range f.hostProcesses {
		ending.Go(p.kill)
	}
	f.mu.Lock()
	reals := f.realProcesses
	f.realProcesses = map[string]*process{}
	f.mu.Unlock()
	errs := make(chan error, len(reals))
	for _, p := range reals {
		ending.Go(func() { errs <- p.stop() })
	}
	ending.Wait()
	for range reals {
		if err := <-errs; err != nil {
			return err
		}
	}
	if err := f.startMembers(); err != nil {
		return err
	}
	return f.awaitMembers(ctx)
}

// pauseUntil waits for an instant.
func (f *fleet) pauseUntil(ctx context.Context, at time.Time) error {
	for time.Now().Before(at) {
		if err := f.pause(ctx, min(time.Until(at), time.Second)); err != nil {
			return err
		}
	}
	return nil
}
