package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/textproto"
	"sync/atomic"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/backoff"
	"harepass/internal/decide/lease"
	"harepass/internal/decide/scatter"
	"harepass/internal/http1"
	"harepass/internal/logmsg"
)

const listBody = 4 << 20

// Source names discovery as a source of nodes.
const Source = "discovery"

// Discovery keeps the owner's list as long as it is asked to.
type Discovery struct {
	Dial     http1.Dialer // nil for plain TCP
	Listed   func(scatter.UpdateKind, []core.Endpoint)
	Leased   func(expires time.Duration) // told until when the list holds, on Clock; nil for nobody
	Clock    core.Clock                  // the owner's
	Grace    time.Duration               // that the rule on draining nodes leaves
	Schedule *backoff.Schedule           // that of a coordinator which is alone, unless set

	address string    // of Run alone, as index is
	index   int64     // version of the list that the owner has; unknown below 0
	known   List      // at the start, until Keep or Run
	kept    *ListCopy // nil where nobody wants it
	changed func()    // told when kept has changed
	asked   chan struct{}
	moved   chan string // the latest new address that Run has not seen
	outage  outage
	lease   lease.Lease
	changes atomic.Pointer[Tuning] // that Run has not seen
}

const noIndex = -1

// NewDiscovery returns a Discovery for the service at an address; Listed has to be set before Run. The owner is to
// have been given the known list, if there is one.
func NewDiscovery(address string, known List) *Discovery {
	d := &Discovery{Clock: core.SystemClock(), address: address, index: noIndex, known: known, asked: make(chan struct{}, 1), moved: make(chan string, 1),
		Schedule: &backoff.Schedule{FleetSize: 1, Rand: rand.New(rand.NewPCG(rand.Uint64(), 0))}}
	if len(known.Endpoints) > 0 {
		d.index = known.Index
	}
	return d
}

// KeepCopy keeps the whole list for a process that takes over, and tells when it has changed. It is to be called before Run.
func (d *Discovery) KeepCopy(changed func()) *ListCopy {
	d.kept, d.changed = NewListCopy(d.address, d.known), changed
	d.known = List{}
	return d.kept
}

// Tuning is what settings say of the list and of how it is asked for.
type Tuning struct {
	Fleet      int           // coordinators that share discovery
	ListMaxAge time.Duration // as backoff.Schedule.ListMaxAge
	Grace      time.Duration // that the rule on draining nodes leaves
}

// Configure has other settings count from the next call on.
func (d *Discovery) Configure(t Tuning) { d.changes.Store(&t) }

// takeTuning takes over what Tune has brought.
func (d *Discovery) takeTuning() {
	if t := d.changes.Swap(nil); t != nil {
		d.Schedule.FleetSize, d.Schedule.ListMaxAge = t.Fleet, t.ListMaxAge
		d.lease.SetGrace(t.Grace)
	}
}

// Subscribe asks for the list and its changes, from now on for good.
func (d *Discovery) Subscribe() {
	select {
	case d.asked <- struct{}{}:
	default:
	}
}

// SetAddress takes the subscription to the service at another address. It is for one goroutine.
func (d *Discovery) SetAddress(address string) {
	select { // a move that Run has not seen is overtaken
	case <-d.moved:
	default:
	}
	d.moved <- address
}

// Run serves subscriptions until ctx ends, from the first time that it is asked to. Each begins with a call for what is new
// since the version that the owner has, which does not wait, and goes on with watches; it ends with the first failed call,
// which the owner is told, and the next one begins after the time that Schedule gives. Only where no version is known, or one
// cannot be relied on, it begins with the whole list: that costs discovery work for each line, and after a common failure all
// coordinators of a fleet ask at once. A move ends the subscription too, but the next one begins at once, with the
// whole list: the new service counts by an index of its own. A watch that was lost is opened anew without a word to
// the owner: what it missed is about to count as told. All the while the owner hears until when its list holds.
func (d *Discovery) Run(ctx context.Context) {
	d.known, d.outage.answered = List{}, time.Now()
	d.lease = lease.New(d.Clock(), d.Schedule.ListMaxAge, d.Grace)
	d.tellLease()
	var pause time.Duration
	select {
	case <-d.asked:
		if d.index != noIndex {
			pause = d.Schedule.FirstDelay()
		}
	case d.address = <-d.moved:
		d.move()
	case <-ctx.Done():
		return
	}
	for {
		select {
		case <-time.After(pause):
		case d.address = <-d.moved:
			d.move()
		case <-ctx.Done():
			return
		}
		moved, failure := d.subscription(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case moved:
			pause = 0
			d.move()
		default:
			pause = d.failed(failure)
			d.outage.failed(failure, d.index, pause, d.lease.Expires()-d.Clock())
		}
	}
}

// failed takes the end of a subscription in and returns how long to wait before the next one.
func (d *Discovery) failed(f *listFailure) (pause time.Duration) {
	switch {
	case f.unreachable():
		d.lease.Unreachable(f.began)
	case !f.watch:
		d.lease.Unanswered()
	}
	d.tellLease()
	if f.watch {
		return d.Schedule.WatchLostDelay()
	}
	d.Listed(scatter.FailedUpdate, nil)
	return d.Schedule.FailureDelayBeforeExpiry(f.took, d.lease.Expires()-d.Clock())
}

// tellLease tells the owner until when its list holds. What an agent of its own has not heard binds nobody.
func (d *Discovery) tellLease() {
	if d.Leased != nil && !d.Schedule.Pushed {
		d.Leased(d.lease.Expires())
	}
}

// move begins anew with the service at another address.
func (d *Discovery) move() {
	d.index = noIndex
	d.Schedule.ServiceChanged()
	d.lease.ServiceChanged(d.Clock())
	d.tellLease()
	slog.Info("discovery moved", "to", d.address)
}

// subscription serves one subscription on a connection of its own, until a call fails or discovery moves.
func (d *Discovery) subscription(ctx context.Context) (moved bool, failure *listFailure) {
	ctx, cancel := context.WithCancel(ctx)
	c := &http1.Client{Address: d.address, Dial: d.Dial, Limits: http1.Limits{Head: 16 << 10, Body: listBody}}
	watching := make(chan struct{})
	go func() { // owns the address until it has ended
		defer close(watching)
		select {
		case d.address = <-d.moved:
			moved = true
			cancel()
		case <-ctx.Done():
		}
	}()
	failure = d.follow(ctx, c)
	c.Close()
	cancel()
	<-watching
	return moved, failure
}

// follow calls for the list and its changes until a call fails. What cannot be used is not taken over, and the next call
// asks for the whole list.
func (d *Discovery) follow(ctx context.Context, c *http1.Client) *listFailure {
	for watch := false; ; watch = true {
		d.takeTuning()
		target, limit := "/registry/instances", d.Schedule.CallTimeout()
		hold, silence := d.Schedule.WatchTimeouts()
		switch {
		case d.index == noIndex:
		case watch: // renewed in time it costs no turn
			target, limit = d.since(hold), hold+silence
		default: // so that its answer tells at once what is new, or that nothing is
			target = d.since(time.Millisecond)
		}
		began := d.Clock()
		data, err := call(ctx, c, target, limit)
		took := d.Clock() - began
		if err != nil {
			return &listFailure{watch, began, took, err}
		}
		list, nodes, err := d.read(data)
		if err != nil {
			d.index = noIndex
			return &listFailure{false, began, 0, err}
		}
		d.Schedule.Succeeded()
		d.outage.served(list.Index)
		scope := scatter.IncrementalUpdate
		if list.Snapshot {
			scope = scatter.FullUpdate
		}
		changed := list.Index != d.index || list.Snapshot
		d.index = list.Index
		if d.kept != nil && changed {
			d.kept.Merge(d.address, list)
			d.changed()
		}
		if changed || !watch { // else the owner has it, and knows that it is told of changes
			d.Listed(scope, nodes)
		}
		if watch && !changed && took >= hold { // there was nothing newer at its end
			began += hold
		}
		d.lease.Confirmed(began)
		d.tellLease()
		if watch && !changed {
			if err := rest(ctx, d.Schedule.RenewDelay(took)); err != nil {
				return &listFailure{watch, d.Clock(), 0, err}
			}
		}
	}
}

// rest waits for a time, or until ctx ends.
func rest(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// since is the target of a call for what is newer than the version that the owner has; it waits so long for that.
func (d *Discovery) since(hold time.Duration) string {
	return fmt.Sprintf("/registry/instances?from=%d&hold_ms=%d", d.index, hold.Milliseconds())
}

// read checks an answer before anything of it counts.
func (d *Discovery) read(data []byte) (list List, nodes []core.Endpoint, err error) {
	if err = json.Unmarshal(data, &list); err != nil {
		return list, nil, fmt.Errorf("platform: unreadable list: %w", err)
	}
	if !list.Snapshot && list.Index < d.index {
		return list, nil, fmt.Errorf("platform: the list went back from version %d to %d", d.index, list.Index)
	}
	nodes, err = list.CoreEndpoints()
	return list, nodes, err
}

func call(ctx context.Context, c *http1.Client, target string, limit time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	began := time.Now()
	m, _, err := c.Do(ctx, &http1.Message{Method: "GET", Target: target,
		Header: textproto.MIMEHeader{"Host": {c.Address}}})
	slog.Debug(logmsg.DiscoveryPolled, "target", target, logmsg.KeyLatency, time.Since(began), logmsg.KeyError, err)
	if err != nil {
		return nil, err
	}
	if m.Status == 503 {
		return nil, errUnavailable
	}
	if m.Status != 200 {
		return nil, fmt.Errorf("platform: discovery answered %d", m.Status)
	}
	return m.Body, nil
}
