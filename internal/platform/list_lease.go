package platform

import (
	"errors"
	"time"

	"harepass/internal/decide/lease"
	"harepass/internal/decide/listversion"
)

// The methods below decide what an event does to the lease of the list, by the rules of package lease. Their callers
// hold mu unless the method locks it.

// beginLease begins the lease of the list that the coordinator starts with, or continues the one of the process that it
// inherited the list from.
func (d *Discovery) beginLease() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	d.version.HeardAt = now
	if d.inherited == nil {
		d.lease = lease.New(now, d.Schedule.ListMaxAge, d.Grace)
	} else {
		d.continueRecord(*d.inherited, now)
	}
	d.reportLease()
}

// continueRecord makes the record that the process has inherited its own. The list may be of an earlier version than
// the record if the changes since could not be read; it is outdated then. If the record's service is not the one that
// the configuration names, the configuration has the effect of a reload.
func (d *Discovery) continueRecord(r ListRecord, now time.Duration) {
	listed := d.version
	d.version, d.unreachableAt = r.Version(), r.UnreachableAt
	d.log.resume(r)
	d.lease = lease.Resume(*r.Lease, d.Grace)
	if r.Service != d.address {
		d.unreachableAt = listversion.NotConfirmed
		d.lease.ServiceChanged(now)
	}
	if listed.Index != r.Index {
		d.version.Index, d.version.ConfirmedAt = listed.Index, listversion.NotConfirmed
		d.log.reset(listed.Index)
		d.lease.Outdated(r.HeardAt)
	}
}

// continueLease continues the record's lease if this process has begun one of its own, for a list that discovery has
// not confirmed: it could not read the record at its start.
func (d *Discovery) continueLease(r ListRecord) {
	if d.version.ConfirmedAt == listversion.NotConfirmed && r.Lease != nil {
		d.lease = lease.Resume(*r.Lease, d.Grace)
	}
}

// recordEvidence changes the lease by what a failed call proves.
func (d *Discovery) recordEvidence(f *pollFailure) {
	switch e := f.evidence(); {
	case e == provesUnreachable:
		d.lease.Unreachable(f.began)
		d.unreachableAt = max(d.unreachableAt, f.began)
	case e == mayBeOverloaded:
		d.lease.Rejected(f.began, d.Schedule.FleetWait())
	case f.watch && errors.Is(f.err, errUnavailable):
		d.lease.WatchRejected(f.began)
	case !f.watch:
		d.lease.Unanswered()
	}
}

// reportLease tells the coordinator when its list expires, and other processes what has changed. A list that the
// coordinator's own agent serves has no lease: a change that the agent has not learned does not count as notified. The
// caller holds mu.
func (d *Discovery) reportLease() {
	if d.Leased != nil && !d.Schedule.UsesAgent {
		d.Leased(d.lease.Expires())
	}
	if d.RecordChanged != nil {
		d.RecordChanged()
	}
}

// expiresIn returns the time until the list expires.
func (d *Discovery) expiresIn() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lease.Expires() - d.Clock()
}

// hasUsableList reports whether the coordinator has a list of the service that has not expired.
func (d *Discovery) hasUsableList() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.index != unknownIndex && d.lease.Expires() > d.Clock()
}
