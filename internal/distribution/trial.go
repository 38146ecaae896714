package distribution

import (
	"context"

	"harepass/internal/decide/replica"
	"harepass/internal/decide/sources"
	"harepass/internal/decide/versionlog"
	"harepass/internal/http1"
)

// trial is what came of a call to a nearer source, beside the one in use: it may be silent, and changes are not to wait for
// it. Nothing of its answer counts; the calls that follow bring what it has.
type trial struct {
	source sources.Source
	client *http1.Client
	result result
}

// returnTo returns a nearer source with its client where one has answered a trial, and begins a trial where it is time.
func (f *Follower) returnTo(ctx context.Context) (sources.Source, *http1.Client) {
	if !f.trying {
		f.beginTrial(ctx)
		return sources.Source{}, nil
	}
	select {
	case t := <-f.trials:
		f.trying = false
		if t.result.err != nil {
			f.selector.Stay(f.now(), t.source, t.result.reason())
		} else if f.selector.Return(t.source) {
			return t.source, t.client
		}
		t.client.Close()
	default:
	}
	return sources.Source{}, nil
}

// beginTrial calls a nearer source where there is one to try.
func (f *Follower) beginTrial(ctx context.Context) {
	source, ok := f.selector.Nearer(f.now())
	if !ok || !f.state.Whole() {
		return
	}
	f.trying = true
	cursor, known := f.state.Cursor()
	go func() {
		c := f.client(source)
		answer, err := f.ask(ctx, c, cursor, known, noHold)
		if err == nil {
			err = fit(answer, cursor)
		}
		f.trials <- trial{source, c, result{err}}
	}()
}

// endTrial waits for a trial that is under way, when Run is over.
func (f *Follower) endTrial() {
	if f.trying {
		t := <-f.trials
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
		return replica.ErrBehind
	}
	return nil
}
