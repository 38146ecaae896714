package platform

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/backoff"
	"harepass/internal/decide/lease"
	"harepass/internal/decide/scatter"
	"harepass/internal/http1"
)

// Source names discovery as a source of endpoints.
const Source = "discovery"

// unknownIndex stands for the version of the endpoint list where none is known, or the known one cannot be relied on.
const unknownIndex = -1

// Discovery keeps a coordinator's endpoint list by the discovery service, from the first Subscribe on. Its exported
// fields are to be set before Run; Run alone goes by them.
type Discovery struct {
	Dial   http1.Dialer                              // nil for plain TCP
	Listed func(scatter.UpdateKind, []core.Endpoint) // takes each update, and each failure; called by Run
	Leased func(expires time.Duration)               // takes until when the list may be used, on Clock; nil for nobody
	Clock  core.Clock                                // the coordinator's
	// Grace is how long attempts at an endpoint are allowed after its drain counts as notified.
	Grace time.Duration
	// Schedule decides when discovery is polled. NewDiscovery sets that of a coordinator which is alone.
	Schedule *backoff.Schedule

	address    string    // of the service; of Run alone
	index      int64     // version of the list that the coordinator has, or unknownIndex; of Run alone
	known      List      // what the coordinator was started with; empty from Run on
	copy       *ListCopy // for a process that takes over; nil where nobody wants it
	changed    func()    // called when copy has changed
	subscribe  chan struct{}
	newAddress chan string // the latest address that Run has not seen
	tuning     atomic.Pointer[Tuning]
	outage     outage
	lease      lease.Lease
}

// NewDiscovery returns a Discovery for the service at an address; Listed has to be set before Run. The coordinator
// is to have been given the known list, if there is one.
func NewDiscovery(address string, known List) *Discovery {
	d := &Discovery{
		Clock:      core.SystemClock(),
		Schedule:   &backoff.Schedule{FleetSize: 1, Rand: rand.New(rand.NewPCG(rand.Uint64(), 0))},
		address:    address,
		index:      unknownIndex,
		known:      known,
		subscribe:  make(chan struct{}, 1),
		newAddress: make(chan string, 1),
	}
	if len(known.Endpoints) > 0 {
		d.index = known.Index
	}
	return d
}

// KeepCopy keeps the complete list for a process that takes over, and calls changed when it has changed. It is to
// be called before Run.
func (d *Discovery) KeepCopy(changed func()) *ListCopy {
	d.copy, d.changed = NewListCopy(d.address, d.known), changed
	d.known = List{}
	return d.copy
}

// Tuning is what the settings say of how discovery is polled.
type Tuning struct {
	Fleet      int           // coordinators that share discovery
	ListMaxAge time.Duration // as backoff.Schedule.ListMaxAge
	Grace      time.Duration // as Discovery.Grace
}

// Configure has other settings count from the next call to discovery on. It is for any goroutine.
func (d *Discovery) Configure(t Tuning) { d.tuning.Store(&t) }

// applyTuning takes over what Configure has brought.
func (d *Discovery) applyTuning() {
	if t := d.tuning.Swap(nil); t != nil {
		d.Schedule.FleetSize, d.Schedule.ListMaxAge = t.Fleet, t.ListMaxAge
		d.lease.SetGrace(t.Grace)
	}
}

// Subscribe asks for the endpoint list and its changes, from now on for good. It is for any goroutine and does not
// block.
func (d *Discovery) Subscribe() {
	select {
	case d.subscribe <- struct{}{}:
	default:
	}
}

// SetAddress takes the subscription to the service at another address. It is for one goroutine at a time, and does
// not block.
func (d *Discovery) SetAddress(address string) {
	select { // an address that Run has not seen yet is overtaken
	case <-d.newAddress:
	default:
	}
	d.newAddress <- address
}

// Run serves subscriptions until ctx ends, from the first Subscribe on.
//
// A subscription begins with a call that does not wait, for what is new since the version that the coordinator has,
// and goes on with watches. Only where no version is known does it begin with the complete list: that costs
// discovery work for each line, and after a common failure all coordinators of a fleet call at once. It ends with
// the first failed call, of which the coordinator is told, and the next one begins after the delay that Schedule
// gives. A watch that was lost is opened anew without telling the coordinator: what it missed is about to count as
// notified.
//
// A new address ends the subscription too, and the next one begins with the complete list, for the new service counts
// versions by an index of its own.
func (d *Discovery) Run(ctx context.Context) {
	d.known, d.outage.answered = List{}, time.Now()
	d.lease = lease.New(d.Clock(), d.Schedule.ListMaxAge, d.Grace)
	d.reportLease()
	delay, running := d.awaitSubscribe(ctx)
	for running && d.wait(ctx, delay) {
		var moved bool
		var failure *pollFailure
		moved, failure = d.serveSubscription(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case moved:
			d.serviceChanged()
			delay = d.Schedule.FirstDelayAtNewService(d.lease.Expires() - d.Clock())
		default:
			delay = d.recordFailure(failure)
			d.outage.failed(failure, d.index, delay, d.lease.Expires()-d.Clock())
		}
	}
}

// awaitSubscribe waits for the first Subscribe, or for a new address, and returns the delay before the first call.
// running is false when ctx has ended.
func (d *Discovery) awaitSubscribe(ctx context.Context) (delay time.Duration, running bool) {
	select {
	case <-d.subscribe:
		if d.index != unknownIndex {
			delay = d.Schedule.FirstDelay()
		}
	case d.address = <-d.newAddress:
		d.serviceChanged()
	case <-ctx.Done():
		return 0, false
	}
	return delay, true
}

// wait waits before the next subscription; a new address ends the wait. It returns false when ctx has ended.
func (d *Discovery) wait(ctx context.Context, delay time.Duration) (running bool) {
	select {
	case <-time.After(delay):
	case d.address = <-d.newAddress:
		d.serviceChanged()
	case <-ctx.Done():
		return false
	}
	return true
}

// recordFailure takes the end of a subscription in and returns the delay before the next one.
func (d *Discovery) recordFailure(f *pollFailure) (delay time.Duration) {
	switch e := f.evidence(); {
	case e == provesUnreachable, e == mayBeCrowded && !d.Schedule.AnsweredBeforeExpiry():
		d.lease.Unreachable(f.began)
	case !f.watch:
		d.lease.Unanswered()
	}
	d.reportLease()
	if f.watch {
		return d.Schedule.WatchLostDelay()
	}
	d.Listed(scatter.FailedUpdate, nil)
	return d.Schedule.FailedBeforeExpiry(f.took, d.lease.Expires()-d.Clock())
}

// reportLease tells the coordinator until when its list may be used. What an agent of the coordinator's own has not
// learned counts as notified to nobody, so a pushed list has no lease.
func (d *Discovery) reportLease() {
	if d.Leased != nil && !d.Schedule.UsesAgent {
		d.Leased(d.lease.Expires())
	}
}

// serviceChanged begins anew with the service at another address.
func (d *Discovery) serviceChanged() {
	d.index = unknownIndex
	d.Schedule.ServiceChanged()
	d.lease.ServiceChanged(d.Clock())
	d.reportLease()
	slog.Info("discovery address changed", "address", d.address)
}
