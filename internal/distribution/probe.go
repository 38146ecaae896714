package distribution

import (
	"context"
	"log/slog"
	"time"

	"harepass/internal/decide/failover"
	"harepass/internal/http1"
	"harepass/internal/logmsg"
)

// probe is one poll of a source other than the current one. Nothing of its answer is applied: if the source is
// followed, the polls after that bring what it has.
type probe struct {
	source     failover.Source
	client     *http1.Client
	err        error         // why the source cannot be followed; nil where it can
	staleness  time.Duration // of what the source had at answeredAt
	answeredAt time.Time     // zero where no answer came
}

// probeSlot holds at most one probe. The probe has a goroutine and a connection of its own: a source that takes the
// call and is silent must not keep changes waiting that the current source has.
type probeSlot struct {
	done     chan probe // the probe, once it has ended; it always has room for one
	underWay bool       // a probe has been started, and has not been taken from done
}

func newProbeSlot() probeSlot { return probeSlot{done: make(chan probe, 1)} }

// betterSource returns a source to change to, with its open client, where a probe has found one. It starts a probe
// where one is due. The client is nil where the current source stays.
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
		} else if f.isBetter(p) {
			return p.source, p.client
		}
		p.client.Close()
	default:
	}
	return failover.Source{}, nil
}

// isBetter reports whether the source of a probe that was answered is to be followed in place of the current one; the
// selector then takes it for the current one.
func (f *Follower) isBetter(p probe) bool {
	left, _ := f.selector.Current()
	stale := f.selector.Stale()
	if !f.selector.ProbeSucceeded(f.now(), p.source, p.staleness+time.Since(p.answeredAt)) {
		return false
	}
	if stale {
		slog.Info(logmsg.SourceLeft, logmsg.KeyResource, f.cfg.Resource.Name(), logmsg.KeySource, left.Address,
			logmsg.KeyReason, failover.Stale.String(), "staleness", f.current.staleness.Round(time.Millisecond))
	}
	return true
}

// startProbe probes a nearer source, or any other one where the current one is stale, if the selector names one now.
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
		answer, err := f.call(ctx, p.client, cursor, known, noWait)
		if err == nil {
			p.staleness, p.answeredAt = stalenessOf(answer), time.Now()
			err = checkUpToDate(answer, cursor)
		}
		p.err = err
		f.probe.done <- p
	}()
}

// waitForProbe ends a probe that is under way when Run returns. Its call ends with Run's context.
func (f *Follower) waitForProbe() {
	if f.probe.underWay {
		p := <-f.probe.done
		p.client.Close()
	}
}
