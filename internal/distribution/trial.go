package distribution

import (
	"context"
	"log/slog"
	"time"

	"harepass/internal/decide/failover"
	"harepass/internal/decide/follower"
	"harepass/internal/decide/versionlog"
	"harepass/internal/http1"
)

// trial is what came of a call to a nearer or fresher source, beside the one in use: it may be silent, and changes are not to wait for
// it. Nothing of its answer counts; the calls that follow bring what it has.
type probe struct {
	source failover.Source
	client *http1.Client
	result result
	age    time.Duration // of what the source has, when it answered
	at     time.Time     // when it answered
}

// returnTo returns a better source with its client where one has answered a trial, and begins a trial where it is time.
func (f *Follower) betterSource(ctx context.Context) (failover.Source, *http1.Client) {
	if !f.probing {
		f.startProbe(ctx)
		return failover.Source{}, nil
	}
	select {
	case t := <-f.probeResults:
		f.probing = false
		if t.result.err != nil {
			f.selector.Stay(f.now(), t.source, t.result.reason())
		} else if f.isBetter(t) {
			return t.source, t.client
		}
		t.client.Close()
	default:
	}
	return failover.Source{}, nil
}

// isBetter tells whether the source of a trial that was answered is to be followed.
func (f *Follower) isBetter(t probe) bool {
	left, _ := f.selector.Current()
	stale := f.selector.Stale()
	if !f.selector.Return(f.now(), t.source, t.age+time.Since(t.at)) {
		return false
	}
	if stale {
		slog.Info("source left", "resource", f.cfg.Resource.Name(), "source", left.Address, "reason", failover.Stale.String(),
			"age", f.sourceStaleness.Round(time.Millisecond))
	}
	return true
}

// beginTrial calls a nearer source, or where the current one is stale any other one, where there is one to try.
func (f *Follower) startProbe(ctx context.Context) {
	if !f.state.Complete() {
		return
	}
	better := f.selector.Nearer
	if f.selector.Stale() {
		better = f.selector.Fresher
	}
	source, ok := better(f.now())
	if !ok {
		return
	}
	f.probing = true
	cursor, known := f.state.Cursor()
	go func() {
		c := f.client(source)
		t := probe{source: source, client: c}
		answer, err := f.request(ctx, c, cursor, known, noHold)
		if err == nil {
			t.age, t.at = ageOf(answer), time.Now()
			err = fit(answer, cursor)
		}
		t.result = result{err}
		f.probeResults <- t
	}()
}

// endTrial waits for a trial that is under way, when Run is over.
func (f *Follower) waitForProbe() {
	if f.probing {
		t := <-f.probeResults
		t.client.Close()
	}
}

// fit tells what keeps a source with this answer from being followed by a reader with that cursor.
func fit(answer *http1.Message, cursor versionlog.Cursor) error {
	slice, err := read(answer)
	if err != nil {
		return err
	}
	head := slice.Version
	head.Index = max(head.Index, slice.Base)
	if head.Before(cursor.Version) {
		return follower.ErrBehind
	}
	return nil
}
