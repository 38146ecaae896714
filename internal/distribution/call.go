package distribution

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/textproto"
	"strconv"
	"time"

	"harepass/internal/decide/failover"
	"harepass/internal/decide/follower"
	"harepass/internal/decide/versionlog"
	"harepass/internal/http1"
)

const (
	// behindGrace is how long a source may be behind before it is left: it may just be hearing of what the reader has.
	behindGrace = 300 * time.Millisecond
	// behindPause is between two calls to a source that is behind.
	behindPause = 50 * time.Millisecond
	// defaultBusy is how long a busy source is left alone that does not say for how long; longestBusy bounds what it says.
	defaultBusy = 500 * time.Millisecond
	longestBusy = 10 * time.Second
)

// busyError is an answer that the source has no capacity now.
type busyError struct{ retryAfter time.Duration }

func (e busyError) Error() string {
	return fmt.Sprintf("distribution: the source is busy for %v", e.retryAfter)
}

// errStatus is returned for answers of another status than 200.
var errStatus = errors.New("distribution: the source answered with a failure")

// result is what came of a call. Where err is nil its answer has been taken.
type result struct{ err error }

// reason is why a source with this result is left.
func (r result) reason() failover.Reason {
	var protocol *http1.Error
	var timeout net.Error
	switch {
	case errors.Is(r.err, follower.ErrBehind):
		return failover.Behind
	case errors.Is(r.err, follower.ErrInvalid), errors.Is(r.err, ErrInvalid), errors.As(r.err, &protocol):
		return failover.Spoilt
	case errors.Is(r.err, context.DeadlineExceeded), errors.As(r.err, &timeout) && timeout.Timeout():
		return failover.Silent
	}
	return failover.Failed
}

// call asks the source in use for what is new and takes the answer.
func (f *Follower) poll(ctx context.Context, c *http1.Client, hold time.Duration) result {
	cursor, known := f.state.Cursor()
	answer, err := f.request(ctx, c, cursor, known, hold)
	if err == nil {
		if err = f.apply(c.Address, answer); err != nil {
			f.failures.Add(1)
		}
	}
	return result{err}
}

// ask makes a call for what is newer than a cursor.
func (f *Follower) request(ctx context.Context, c *http1.Client, cursor versionlog.Cursor, known bool, hold time.Duration) (*http1.Message, error) {
	limited, cancel := context.WithTimeout(ctx, f.cfg.Heartbeat+f.cfg.Allowance)
	defer cancel()
	f.calls.Add(1)
	answer, _, err := c.Do(limited, &http1.Message{Method: "GET", Target: target(f.cfg.Resource, cursor, known, hold),
		Header: textproto.MIMEHeader{"Host": {c.Address}}})
	if err == nil {
		return answer, nil
	}
	f.failures.Add(1)
	if limited.Err() != nil && ctx.Err() == nil {
		err = fmt.Errorf("%w: %w", context.DeadlineExceeded, err)
	}
	return nil, err
}

// read finds the slice in an answer.
func read(m *http1.Message) (versionlog.Slice, error) {
	switch m.Status {
	case 200:
		return decode(m.Body)
	case 503:
		return versionlog.Slice{}, busyError{retryAfter(m)}
	case 409:
		return versionlog.Slice{}, fmt.Errorf("%w: it says so", follower.ErrBehind)
	}
	return versionlog.Slice{}, fmt.Errorf("%w: status %d", errStatus, m.Status)
}

// take checks an answer and hands it to the consumer.
func (f *Follower) apply(source string, m *http1.Message) error {
	slice, err := read(m)
	if err == nil && f.cfg.Check != nil {
		if bad := f.cfg.Check(slice.Entries); bad != nil {
			err = fmt.Errorf("%w: %w", ErrInvalid, bad)
		}
	}
	if errors.Is(err, ErrInvalid) {
		f.rejected.Add(1)
	}
	if err != nil {
		return err
	}
	before, _ := f.state.Cursor()
	change, err := f.state.Apply(slice)
	if err != nil {
		f.rejected.Add(1)
		return err
	}
	news := slice.Version != before.Version || slice.Snapshot || change.Completed
	f.moreAvailable = news && slice.More()
	f.sourceStaleness = ageOf(m)
	f.note(slice, change, news, f.sourceStaleness)
	if news {
		f.cfg.Apply(Update{Slice: slice, Entries: change.Entries, Removed: change.Removed,
			Completed: change.Completed, Complete: change.Complete, Source: source})
	}
	return nil
}

// note keeps the status and the counters. age is that of what the source has.
func (f *Follower) note(slice versionlog.Slice, change follower.Change, news bool, age time.Duration) {
	f.entries.Add(int64(len(change.Entries) + len(change.Removed)))
	if news {
		f.versions.Add(1)
	}
	if change.Completed {
		f.snapshots.Add(1)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status.Version, f.status.HasVersion, f.status.Complete, f.status.Entries = slice.Version, true, change.Complete, f.state.Len()
	if change.Complete && !slice.More() {
		f.confirmed = time.Now().Add(-age)
	}
}

// judge tells the selector what came of a call and tells whether the source is to be followed on.
func (f *Follower) recordOutcome(ctx context.Context, source failover.Source, r result) (stay bool) {
	if r.err == nil {
		f.behindSince = time.Time{}
		if !f.served {
			f.answered(source)
		}
		f.selector.Served(f.now())
		f.selector.Aged(f.now(), f.sourceStaleness)
		return true
	}
	if f.bearBehind(ctx, r) {
		return true
	}
	var busy busyError
	if errors.As(r.err, &busy) && f.needsSnapshot() {
		slog.Debug("source busy", "resource", f.cfg.Resource.Name(), "source", source.Address, "retry_after", busy.retryAfter)
		f.selector.Busy(f.now(), busy.retryAfter)
		return false
	}
	reason := r.reason()
	level := slog.LevelDebug // it may be tried for hours
	if f.served {
		level = slog.LevelInfo
	}
	slog.Log(ctx, level, "source left", "resource", f.cfg.Resource.Name(), "source", source.Address, "reason", reason.String(), "err", r.err)
	f.selector.Leave(f.now(), reason)
	return false
}

// needsSnapshot tells whether a busy source is worth waiting for: the reader has no list yet, or one so old that no other
// source is likely to have all that changed since. One with a fresh list goes on at the next source.
func (f *Follower) needsSnapshot() bool {
	return !f.state.Complete() || f.Status().Staleness > oldAfter
}

// bearBehind waits a moment where the source is behind, and has not been so for long.
func (f *Follower) bearBehind(ctx context.Context, r result) bool {
	if r.reason() != failover.Behind {
		return false
	}
	if f.behindSince.IsZero() {
		f.behindSince = time.Now()
	}
	if time.Since(f.behindSince) >= behindGrace {
		return false
	}
	sleep(ctx, behindPause)
	return true
}

// behind tells whether the current source's last answer was older than the replica.
func (f *Follower) behind() bool { return !f.behindSince.IsZero() }

// ageOf is how long ago the source knew that it has the authority's newest version, as far as it tells.
func ageOf(m *http1.Message) time.Duration {
	if milliseconds, err := strconv.ParseUint(m.Header.Get(AgeMillisecondsHeader), 10, 41); err == nil {
		return time.Duration(milliseconds) * time.Millisecond
	}
	seconds, err := strconv.ParseUint(m.Header.Get("Age"), 10, 31)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// retryAfter is the pause that a busy source asks for.
func retryAfter(m *http1.Message) time.Duration {
	seconds, err := strconv.ParseFloat(m.Header.Get("Retry-After"), 64)
	if err != nil || !(seconds >= 0) {
		return defaultBusy
	}
	return time.Duration(min(seconds, longestBusy.Seconds()) * float64(time.Second))
}
