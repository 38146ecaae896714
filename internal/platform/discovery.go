package platform

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/backoff"
	"harepass/internal/decide/lease"
	"harepass/internal/decide/listversion"
	"harepass/internal/decide/scatter"
	"harepass/internal/http1"
)

// Source is the name of discovery as a source of endpoints.
const Source = "discovery"

// unknownIndex replaces the version of the endpoint list if none is known or the known one cannot be relied on.
const unknownIndex = -1

// Discovery keeps a coordinator's endpoint list up to date from the discovery service, from the first Subscribe on. The
// exported fields must be set before Run, which alone uses them.
type Discovery struct {
	Dial   http1.Dialer                              // nil for plain TCP
	Listed func(scatter.UpdateKind, []core.Endpoint) // receives each update and each failure; called by Run
	Leased func(expires time.Duration)               // receives the time, on Clock, when the list expires; may be nil
	Clock  core.Clock                                // the coordinator's clock
	// Grace is how long attempts at an endpoint are allowed after its drain counts as notified.
	Grace time.Duration
	// Schedule decides when discovery is polled. NewDiscovery sets the schedule of a fleet of one coordinator.
	Schedule *backoff.Schedule
	// RecordChanged is called after each change of what Record returns, and possibly without one. It must not block or
	// call methods of the Discovery. It may be nil.
	RecordChanged func()

	known      List        // list that the coordinator started with; empty once Run has begun
	inherited  *ListRecord // of the process that known comes from; see Inherit
	changed    func()      // called after copy has changed
	subscribe  chan struct{}
	newAddress chan string     // the latest address that Run has not received
	records    chan peerRecord // records that Adopt passes to Run
	tuning     atomic.Pointer[Tuning]
	outage     outage

	mu      sync.Mutex // guards the fields below, and the order in which updates and expiries are passed on
	address string     // of the service; only Run changes it
	index   int64      // version to poll changes from, or unknownIndex
	copy    *ListCopy  // for a process that takes over; nil if none is kept
	lease   lease.Lease
	// version is that of the coordinator's list, which is also known while index is not. Its index is unknownIndex if
	// the coordinator has no list.
	version       listversion.Known
	unreachableAt time.Duration // see ListRecord
	log           changeLog     // changes up to version
	adoptions     int           // how many versions were adopted from other processes
}

// NewDiscovery returns a Discovery for the service at an address; Listed must be set before Run. The known list is the
// one that the coordinator already has, and may be empty.
func NewDiscovery(address string, known List) *Discovery {
	d := &Discovery{
		Clock:      core.SystemClock(),
		Schedule:   &backoff.Schedule{FleetSize: 1, Rand: rand.New(rand.NewPCG(rand.Uint64(), 0))},
		address:    address,
		index:      unknownIndex,
		known:      known,
		subscribe:  make(chan struct{}, 1),
		newAddress: make(chan string, 1),
		records:    make(chan peerRecord),
		version:    listversion.Known{Service: address, Index: unknownIndex, ConfirmedAt: listversion.NotConfirmed},

		unreachableAt: listversion.NotConfirmed,
	}
	if len(known.Endpoints) > 0 {
		d.index, d.version.Index = known.Index, known.Index
		d.log.reset(known.Index)
	}
	return d
}

// Inherit replaces the known list by one that another process of the coordinator has had from the service at an
// address. That service may differ from the one that is to be polled. record is the other process's, or nil if it has
// none. Inherit must be called before KeepCopy and Run.
func (d *Discovery) Inherit(service string, list List, record *ListRecord) {
	d.known, d.inherited = list, record
	d.version.Service, d.version.Index = service, list.Index
	d.log.reset(list.Index)
	d.index = unknownIndex // versions of two services do not compare
	if service == d.address {
		d.index = list.Index
	}
}

// KeepCopy keeps a copy of the complete list for a process that takes over, and calls changed after each change of the
// copy. It must be called before Run.
func (d *Discovery) KeepCopy(changed func()) *ListCopy {
	d.copy, d.changed = NewListCopy(d.version.Service, d.known), changed
	d.known = List{}
	return d.copy
}

// Tuning holds the settings for polling discovery.
type Tuning struct {
	Fleet      int           // number of coordinators that share the discovery service
	ListMaxAge time.Duration // see backoff.Schedule.ListMaxAge
	Grace      time.Duration // see Discovery.Grace
}

// Configure changes the settings from the next call to discovery on. It may be called from any goroutine.
func (d *Discovery) Configure(t Tuning) { d.tuning.Store(&t) }

// applyTuning applies the settings of the latest Configure, if they are new.
func (d *Discovery) applyTuning() {
	if t := d.tuning.Swap(nil); t != nil {
		d.Schedule.FleetSize, d.Schedule.ListMaxAge = t.Fleet, t.ListMaxAge
		d.mu.Lock()
		defer d.mu.Unlock()
		d.lease.SetGrace(t.Grace)
	}
}

// Subscribe starts the subscription to the endpoint list and its changes, which lasts until Run ends. It may be called
// from any goroutine and does not block.
func (d *Discovery) Subscribe() {
	select {
	case d.subscribe <- struct{}{}:
	default:
	}
}

// SetAddress moves the subscription to the service at another address. Only one goroutine may call it at a time. It
// does not block.
func (d *Discovery) SetAddress(address string) {
	select { // replaces an address that Run has not received yet
	case <-d.newAddress:
	default:
	}
	d.newAddress <- address
}

// Run serves subscriptions from the first Subscribe until ctx ends.
//
// A subscription begins with a call for the changes since the coordinator's version, which discovery answers at once,
// and continues with watches. It begins with the complete list only if no version is known: a complete list costs
// discovery work for each entry, and after a common failure all coordinators of a fleet call at once. A subscription
// ends with its first failed call. Run reports the failure to the coordinator and begins the next subscription after
// the delay that Schedule returns. It does not report a lost watch, but polls again: the changes that the watch missed
// are about to count as notified.
//
// A new address also ends the subscription. The next one begins with the complete list, because the new service
// numbers its versions by an index of its own.
func (d *Discovery) Run(ctx context.Context) {
	d.known, d.outage.answered = List{}, time.Now()
	d.beginLease()
	go d.adoptRecords(ctx)
	delay, running := d.awaitSubscribe(ctx)
	for running && d.wait(ctx, delay) {
		newAddress, failure := d.serveSubscription(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case newAddress != "":
			d.serviceChanged(newAddress)
			delay = d.Schedule.FirstDelayAtNewService(d.expiresIn())
		default:
			delay = d.recordFailure(failure)
		}
	}
}

// awaitSubscribe waits for the first Subscribe or for a new address, and returns the delay before the first call.
// running is false if ctx has ended.
func (d *Discovery) awaitSubscribe(ctx context.Context) (delay time.Duration, running bool) {
	select {
	case <-d.subscribe:
		if d.hasUsableList() {
			delay = d.Schedule.FirstDelay()
		}
	case address := <-d.newAddress:
		d.serviceChanged(address)
	case <-ctx.Done():
		return 0, false
	}
	return delay, true
}

// wait waits before the next subscription until the delay is over or a new address arrives. It returns false if ctx has
// ended.
func (d *Discovery) wait(ctx context.Context, delay time.Duration) (running bool) {
	select {
	case <-time.After(delay):
	case address := <-d.newAddress:
		d.serviceChanged(address)
	case <-ctx.Done():
		return false
	}
	return true
}

// recordFailure records the failure that ended a subscription and returns the delay before the next one.
func (d *Discovery) recordFailure(f *pollFailure) (delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordEvidence(f)
	d.reportLease()
	expiresIn := d.lease.Expires() - d.Clock()
	if f.watch {
		delay = d.Schedule.WatchLostDelay()
	} else {
		d.Listed(scatter.FailedUpdate, nil)
		delay = d.Schedule.FailedBeforeExpiry(f.took, expiresIn)
	}
	d.outage.failed(f, d.index, delay, expiresIn)
	return delay
}

// serviceChanged sets the address of the service, and resets the known version, the schedule and the lease for it.
func (d *Discovery) serviceChanged(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.address, d.index = address, unknownIndex
	d.unreachableAt = listversion.NotConfirmed
	d.Schedule.ServiceChanged()
	d.lease.ServiceChanged(d.Clock())
	d.reportLease()
	slog.Info("discovery address changed", "address", d.address)
}
