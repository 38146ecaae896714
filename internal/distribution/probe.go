package distribution

import (
	"context"
	"log/slog"
	"time"

	"harepass/internal/decide/failover"
	"harepass/internal/http1"
	"harepass/internal/logmsg"
)

// probe is one call to a source other than the current one. Its answer is not applied: if the Follower switches to the
// source, the next polls fetch what the source has.
type probe struct {
	source     failover.Source
	client     *http1.Client
	err        error         // why the source cannot be followed; nil if it can
	staleness  time.Duration // staleness of the source at answeredAt
	answeredAt time.Time     // zero if no answer arrived
}

// probeSlot holds at most one probe. A probe has its own goroutine and connection, so that a source that accepts the
// call and stays silent does not delay changes from the current source.
type probeSlot struct {
	done     chan probe // receives the probe when it has ended; capacity 1 suffices, as there is at most one probe
	underWay bool       // a probe has been started and has not been received from done
}

func newProbeSlot() probeSlot { return probeSlot{done: make(chan probe, 1)} }

// betterSource returns a better source and its open client if a probe has found one that the Follower switches to;
// otherwise the client is nil. If no probe is under way, betterSource starts one if one is due.
func (f *Follower) betterSource(ctx context.Context) (failover.Source, *http1.Client) {
	if !f.probe.underWay {
		f.startProbe(ctx)
		return failover.Source{}, nil
	}
	select {
	case p := <-f.probe.done:
		f.probe.underWay = false
		if p.err != nil {
			f.selector.ProbeFailed(f.now(), p.source, reasonOf(p.err))
		} else if f.switchIfBetter(p) {
			return p.source, p.client
		}
		p.client.Close()
	default:
	}
	return failover.Source{}, nil
}

// switchIfBetter reports a successful probe to the selector, which makes the probed source the current one if it is
// better. It returns whether the selector did so.
func (f *Follower) switchIfBetter(p probe) bool {
	left, _ := f.selector.Current()
	stale := f.selector.Stale()
	if !f.selector.ProbeSucceeded(f.now(), p.source, p.staleness+time.Since(p.answeredAt)) {
		return false
	}
	if stale {
		slog.Info(logmsg.SourceLeft, logmsg.KeyResource, f.cfg.Path.ResourceName(), logmsg.KeySource, left.Address,
			logmsg.KeyReason, failover.Stale.String(), "staleness", f.current.staleness.Round(time.Millisecond))
	}
	return true
}

// startProbe starts a probe if the selector returns a source to probe now: a nearer source, or any other source while
// the current one is stale. It starts none while the local copy is incomplete.
func (f *Follower) startProbe(ctx context.Context) {
	if !f.state.Complete() {
		return
	}
	candidate := f.selector.Nearer
	if f.selector.Stale() {
		candidate = f.selector.Fresher
	}
	source, ok := candidate(f.now())
	if !ok {
		return
	}
	f.probe.underWay = true
	cursor, known := f.state.Cursor()
	go func() {
		p := probe{source: source, client: f.client(source)}
		answer, err := f.call(ctx, p.client, cursor, known, noWait, f.cfg.FirstCallTimeout)
		if err == nil {
			p.staleness, p.answeredAt = stalenessOf(answer), time.Now()
			err = checkUpToDate(answer, cursor)
		}
		p.err = err
		f.probe.done <- p
	}()
}

// waitForProbe waits for a probe that is under way when Run's context has ended, and closes its client. The end of the
// context also ends the probe's call.
func (f *Follower) waitForProbe() {
	if f.probe.underWay {
		p := <-f.probe.done
		p.client.Close()
	}
}
