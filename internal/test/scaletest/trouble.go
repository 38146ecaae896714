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
type occurrence struct {
	Trouble
	what       string
	begin, end time.Time
	region     int // that is cut off; -1 for none
	spoilt     int // answers
}

// probeAfter is how long after a trouble's beginning a change is published.
const probeAfter = 50 * time.Millisecond

// play plays the troubles at their times; those that last end by themselves.
func (f *fleet) trouble(ctx context.Context, began time.Time) (played []*occurrence, err error) {
	var lasting sync.WaitGroup
	defer lasting.Wait()
	var mu sync.Mutex
	var failed error
	for _, t := range f.plan.Troubles {
		if err := f.pauseUntil(ctx, began.Add(t.At)); err != nil {
			return played, err
		}
		o := &occurrence{Trouble: t, what: t.String(), region: -1, begin: time.Now()}
		played = append(played, o)
		f.timeline.note("trouble: %s", o.what)
		if err := f.begin(ctx, o); err != nil {
			return played, err
		}
		lasting.Go(func() {
			if err := f.endLater(ctx, o); err != nil {
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
func (t Trouble) String() string {
	what := ""
	switch {
	case t.KillRelay != nil:
		what = fmt.Sprintf("relay %d killed", *t.KillRelay)
	case t.PauseRelay != nil:
		what = fmt.Sprintf("relay %d paused", *t.PauseRelay)
	case t.CutRegion != nil && t.OneSided:
		what = fmt.Sprintf("nothing reaches region %d", *t.CutRegion)
	case t.CutRegion != nil:
		what = fmt.Sprintf("region %d cut off", *t.CutRegion)
	case t.RestartAll:
		what = "all members started at once"
	case t.ZoneGone != nil:
		what = fmt.Sprintf("the entries of zone %d gone", *t.ZoneGone)
	case t.Spoil != "":
		what = fmt.Sprintf("answers of relay 0 %s", t.Spoil)
	case t.Settings != "":
		what = fmt.Sprintf("%s settings", t.Settings)
	}
	if t.For > 0 {
		what += fmt.Sprintf(" for %v", t.For)
	}
	return what
}

// begin does what a trouble begins with.
func (f *fleet) begin(ctx context.Context, o *occurrence) error {
	switch {
	case o.KillRelay != nil:
		f.relays[*o.KillRelay].process.kill()
	case o.PauseRelay != nil:
		return f.relays[*o.PauseRelay].process.signal(syscall.SIGSTOP)
	case o.CutRegion != nil:
		o.region = *o.CutRegion
		f.cutOff(o.region, true)
		f.network.cut(o.region, o.OneSided)
	case o.RestartAll:
		return f.restartAll(ctx)
	case o.ZoneGone != nil:
		f.changeZone(*o.ZoneGone, fake.StatusTerminated)
	case o.Spoil != "":
		f.spoiler.become(o.Spoil) // counts anew
	case o.Settings != "":
		return f.writeInvalidSettings()
	}
	return nil
}

// endLater publishes a probe soon after the beginning, ends the trouble when its time is over, and publishes another.
func (f *fleet) endLater(ctx context.Context, o *occurrence) error {
	if o.ZoneGone == nil && !o.RestartAll {
		if err := f.pause(ctx, probeAfter); err != nil {
			return err
		}
		f.probe()
	}
	o.end = time.Now()
	if o.For <= 0 {
		return nil
	}
	if err := f.pauseUntil(ctx, o.begin.Add(o.For)); err != nil {
		return err
	}
	err := f.finish(o)
	o.end = time.Now()
	f.timeline.note("over: %s", o.what)
	f.probe()
	return err
}

// finish ends a trouble that lasts.
func (f *fleet) finish(o *occurrence) error {
	switch {
	case o.KillRelay != nil:
		return f.startAgain(f.relays[*o.KillRelay])
	case o.PauseRelay != nil:
		return f.relays[*o.PauseRelay].process.signal(syscall.SIGCONT)
	case o.CutRegion != nil:
		f.network.heal(o.region)
		f.cutOff(o.region, false)
	case o.ZoneGone != nil:
		f.changeZone(*o.ZoneGone, fake.StatusInService)
	case o.Spoil != "":
		f.spoiler.become("")
		o.spoilt = f.spoiler.count()
	case o.Settings != "":
		return f.changeSettings()
	}
	return nil
}

// cutOff notes that a region is cut off, or no more.
func (f *fleet) cutOff(region int, yes bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[region] = yes
}

func (f *fleet) isCutOff(region int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cuts[region]
}

// changeZone gives all entries of a zone a status at once.
func (f *fleet) changeZone(zone int, status string) {
	var which, answering []int
	for i := zone; i < f.plan.Entries; i += f.plan.Zones {
		which = append(which, i)
		if i < f.plan.Nodes {
			answering = append(answering, i)
		}
	}
	f.nodes.takes(status == fake.StatusInService, answering...)
	f.publisher.change(status, which...)
	f.timeline.note("%d entries of zone %d: %s", len(which), zone, status)
}

// restartAll ends all members, real ones as planned, starts them at once and waits until all have list and settings.
func (f *fleet) restartAll(ctx context.Context) error {
	var ending sync.WaitGroup
	for _, p := range f.hosts {
		ending.Go(p.kill)
	}
	f.mu.Lock()
	reals := f.reals
	f.reals = map[string]*process{}
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
