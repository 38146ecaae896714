package platform

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"harepass/internal/counters"
	"harepass/internal/decide/listversion"
	"harepass/internal/logmsg"
)

// The processes of a coordinator count as one: a change of the list that discovery has told to one of them is known to
// all, and so is discovery's word that a list is the latest one. Each process therefore keeps a ListRecord for the
// others, and adopts what is newer in theirs. A process does so while it waits for an answer of discovery, too. The
// call that it waits for goes on, since a new one may have to wait for its turn.

// listsAdopted counts the versions of the list that came from another process. Its name must not change, because the
// admin endpoint shows it.
var listsAdopted = counters.New("lists", "from_process")

// CompleteList returns the complete list that another process has stored, and the address of the discovery service that
// it came from. ok is false if there is none.
type CompleteList func() (service string, list List, ok bool)

// peerRecord is a call of Adopt.
type peerRecord struct {
	record   ListRecord
	complete CompleteList
	result   chan<- error
}

// Record returns what this process knows of the list. ok is false if it has no list.
func (d *Discovery) Record() (r ListRecord, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v, state := d.version, d.lease.State()
	r = ListRecord{Service: v.Service, Index: v.Index, Numbering: v.Numbering, ConfirmedAt: v.ConfirmedAt,
		HeardAt: v.HeardAt, UnreachableAt: d.unreachableAt, Lease: &state, Base: d.log.base, Changes: d.log.all()}
	return r, v.Index != unknownIndex
}

// ErrChangesMissing is returned for a record that does not hold all changes since this process's version, if there is
// no complete list to apply the others to.
var ErrChangesMissing = errors.New("platform: changes between the two versions are missing")

// Adopt takes over what is newer in the record of another process of the coordinator. complete is called if the record
// does not hold all changes since this process's version. An error means that the record is newer but could not be
// adopted: it is ErrChangesMissing, an *EntryError or the context's. The coordinator soon stops using its list then,
// and Adopt should be called again with the record. Adopt waits until Run has begun.
func (d *Discovery) Adopt(ctx context.Context, r ListRecord, complete CompleteList) error {
	result := make(chan error, 1)
	select {
	case d.records <- peerRecord{r, complete, result}:
		return <-result
	case <-ctx.Done():
		return ctx.Err()
	}
}

// adoptRecords serves Adopt until ctx ends.
func (d *Discovery) adoptRecords(ctx context.Context) {
	for {
		select {
		case p := <-d.records:
			p.result <- d.adopt(p.record, p.complete)
		case <-ctx.Done():
			return
		}
	}
}

// adopt implements Adopt. A record is ignored if it is neither of the service that this process polls nor of the one
// that its list is still from, or if discovery has not told its list to the other process. What a service that is no
// longer polled tells changes the list, but does not confirm it.
func (d *Discovery) adopt(r ListRecord, complete CompleteList) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	polled := r.Service == d.address
	if !polled && r.Service != d.version.Service || r.ConfirmedAt == listversion.NotConfirmed {
		return nil
	}
	if d.version.Service != r.Service || r.Version().Supersedes(d.version) {
		if err := d.adoptVersion(r, complete); err != nil {
			d.lease.Outdated(r.HeardAt)
			d.reportLease()
			return err
		}
	}
	if polled && r.Version().Continues(d.version) && r.Index == d.version.Index {
		d.adoptConfirmation(r)
	}
	return nil
}

// adoptVersion takes over the record's version of the list.
func (d *Discovery) adoptVersion(r ListRecord, complete CompleteList) error {
	changes, err := d.changesTo(r, complete)
	if err != nil {
		return err
	}
	endpoints, err := changes.CoreEndpoints()
	if err != nil {
		return err
	}
	slog.Info(logmsg.EndpointListTakenOver, logmsg.KeySource, "another process", "version", r.Index, "from_version",
		d.version.Index, "endpoints", len(endpoints), "complete", changes.Snapshot,
		logmsg.KeyAge, (d.Clock() - r.HeardAt).Round(time.Millisecond))
	listsAdopted.Inc()
	if r.Service == d.address {
		d.continueLease(r)
		d.lease.Confirmed(r.ConfirmedAt)
		d.index = r.Index
	}
	d.version = r.Version()
	d.adoptions++
	d.logChange(changes)
	if d.copy != nil {
		d.copy.Merge(r.Service, changes)
		d.changed()
	}
	d.Listed(updateKind(changes), endpoints)
	d.reportLease()
	return nil
}

// changesTo returns the changes from this process's version to the record's, or the complete list of the record's.
func (d *Discovery) changesTo(r ListRecord, complete CompleteList) (List, error) {
	if r.Version().Continues(d.version) {
		if changes, ok := r.ChangesAfter(d.version.Index); ok {
			return changes, nil
		}
	}
	service, stored, ok := complete()
	if !ok || service != r.Service {
		return List{}, ErrChangesMissing
	}
	list, ok := r.Complete(stored)
	if !ok {
		return List{}, ErrChangesMissing
	}
	return list, nil
}

// adoptConfirmation takes over when the version that both processes have was the latest one, and when the service was
// last found unreachable.
func (d *Discovery) adoptConfirmation(r ListRecord) {
	confirmed, unreachable := r.ConfirmedAt > d.version.ConfirmedAt, r.UnreachableAt > d.unreachableAt
	if confirmed {
		d.continueLease(r)
		d.version.ConfirmedAt, d.version.HeardAt = r.ConfirmedAt, max(d.version.HeardAt, r.HeardAt)
		d.lease.Confirmed(r.ConfirmedAt)
	}
	if unreachable {
		d.unreachableAt = r.UnreachableAt
		d.lease.Unreachable(r.UnreachableAt)
	}
	if confirmed || unreachable {
		d.reportLease()
	}
}
