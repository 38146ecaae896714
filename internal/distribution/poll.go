package distribution

import (
	"context"
	"errors"
	"fmt"
	"net/textproto"
	"time"

	"harepass/internal/decide/follower"
	"harepass/internal/decide/versionlog"
	"harepass/internal/http1"
)

// poll asks the current source for changes that the local copy lacks, and applies the answer. If it returns an error,
// no part of an answer was applied.
func (f *Follower) poll(ctx context.Context, client *http1.Client, maxWait, timeout time.Duration) error {
	cursor, known := f.state.Cursor()
	answer, err := f.call(ctx, client, cursor, known, maxWait, timeout)
	if err != nil {
		return err
	}
	if err = f.apply(client.Address, answer); err != nil {
		f.totals.failures.Add(1)
	}
	return err
}

// call asks a source for changes after a cursor, and returns the answer without parsing it. The error wraps
// context.DeadlineExceeded if no answer arrived within the time-out.
func (f *Follower) call(ctx context.Context, client *http1.Client, cursor versionlog.Cursor, known bool,
	maxWait, timeout time.Duration) (*http1.Message, error) {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	f.totals.calls.Add(1)
	answer, _, err := client.Do(limited, &http1.Message{Method: "GET",
		Target: target(f.cfg.Path, cursor, known, maxWait), Header: textproto.MIMEHeader{"Host": {client.Address}}})
	if err == nil {
		return answer, nil
	}
	f.totals.failures.Add(1)
	if limited.Err() != nil && ctx.Err() == nil {
		err = fmt.Errorf("%w: %w", context.DeadlineExceeded, err)
	}
	return nil, err
}

// target returns the request target of a call for changes after a cursor. known is false if the reader has no version
// yet; the call then asks for a snapshot.
func target(path Path, c versionlog.Cursor, known bool, maxWait time.Duration) string {
	if !known {
		return string(path)
	}
	b := append([]byte(path), '?')
	if c.Epoch > 0 {
		b = fmt.Appendf(b, "epoch=%d&", c.Epoch)
	}
	b = fmt.Appendf(b, "from=%d&hold_ms=%d", c.Index, maxWait.Milliseconds())
	if c.Base > 0 {
		b = fmt.Appendf(b, "&base=%d", c.Base)
	}
	if c.NewestIndex > c.Index {
		b = fmt.Appendf(b, "&head=%d", c.NewestIndex)
	}
	return string(b)
}

// apply checks an answer as a whole, applies it to the local copy, and passes the changes to Config.Apply. After an
// error the local copy is unchanged.
func (f *Follower) apply(source string, m *http1.Message) error {
	slice, err := parseAnswer(m)
	if err == nil {
		err = f.checkEntries(slice)
	}
	if errors.Is(err, ErrInvalid) {
		f.totals.unusable.Add(1)
	}
	if err != nil {
		return err
	}
	before, _ := f.state.Cursor()
	change, err := f.state.Apply(slice)
	if err != nil {
		f.totals.unusable.Add(1)
		return err
	}
	updated := slice.Version != before.Version || slice.Snapshot || change.SnapshotCompleted
	f.current.moreAvailable = updated && slice.More()
	f.current.staleness = stalenessOf(m)
	f.totals.recordChange(change, updated)
	f.status.setVersion(slice, change, f.state.Len(), f.current.staleness)
	if updated {
		f.cfg.Apply(Update{Slice: slice, Entries: change.Entries, MissingFromSnapshot: change.MissingFromSnapshot,
			SnapshotCompleted: change.SnapshotCompleted, Complete: change.Complete, Source: source})
	}
	return nil
}

// checkEntries runs Config.Check on an answer's entries. The error wraps ErrInvalid.
func (f *Follower) checkEntries(slice versionlog.Slice) error {
	if f.cfg.Check == nil {
		return nil
	}
	if err := f.cfg.Check(slice.Entries); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return nil
}

// checkUpToDate checks that the source of an answer has at least the cursor's version. The error wraps
// follower.ErrBehind if it does not. A slice within a snapshot shows that the source has the snapshot's base.
func checkUpToDate(answer *http1.Message, cursor versionlog.Cursor) error {
	slice, err := parseAnswer(answer)
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
