package lifecycle

import (
	"context"
	"log/slog"
	"time"

	"harepass/internal/core"
	"harepass/internal/counters"
	"harepass/internal/decide/scatter"
	"harepass/internal/decide/stability"
	"harepass/internal/inputfile"
	"harepass/internal/inventory"
	"harepass/internal/logmsg"
)

const (
	// inventoryRetryInterval is the time after a rejected reading until the inventory is looked at again.
	inventoryRetryInterval = time.Second
	// postponedLogInterval is the time between two log lines about an inventory that does not count as complete yet.
	postponedLogInterval = 10 * time.Second
)

// Readings of the inventory by a running process.
var (
	acceptedReadings  = counters.New("inventory_readings", "accepted")
	postponedReadings = counters.New("inventory_readings", "postponed")
	rejectedReadings  = counters.New("inventory_readings", "rejected")
)

// inventoryReloader reads the inventory again on request, in a goroutine of its own: neither the wait until the file
// counts as complete nor the contents of the file hold up the goroutine that takes the signals.
//
// A request stands until a reading has been accepted. A rejected reading is repeated, so that a file that was torn for
// longer than inputfile.ReloadWindows, or that is corrected later, is put in force without another request.
type inventoryReloader struct {
	reader  *inventory.Reader
	clock   core.Clock
	update  func([]core.Endpoint) // puts the endpoints of an accepted reading in force
	pending chan struct{}         // holds a token while a request is pending
}

// followInventory starts the goroutine that reads the inventory again.
func (p *process) followInventory(ctx context.Context) {
	p.Inventory.ShardsWithoutHolder = func(endpoints []core.Endpoint) []int {
		return p.coordinator.ShardsLosingHolders(inventory.Source, endpoints)
	}
	p.inventoryReloads = &inventoryReloader{reader: p.Inventory, clock: p.clock, pending: make(chan struct{}, 1),
		update: func(endpoints []core.Endpoint) {
			p.coordinator.UpdateEndpoints(inventory.Source, scatter.FullUpdate, endpoints)
		}}
	go p.inventoryReloads.run(ctx)
}

// request makes the inventory be read again. It does not wait. A request during a reading causes another reading after
// that.
func (r *inventoryReloader) request() {
	select {
	case r.pending <- struct{}{}:
	default:
	}
}

// run serves requests until ctx is done.
func (r *inventoryReloader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.pending:
			r.serve(ctx)
		}
	}
}

// serve reads the inventory until a reading is accepted or ctx is done. It logs a fault once, and again after another
// request.
func (r *inventoryReloader) serve(ctx context.Context) {
	logged := ""
	for {
		reading, err := r.readStable(ctx)
		switch {
		case err != nil:
			return
		case reading.Err == nil:
			r.accept(reading)
			return
		case reading.Err.Error() != logged:
			logged = reading.Err.Error()
			rejectedReadings.Inc()
			slog.Error(logmsg.InventoryRejected, logmsg.KeyError, reading.Err,
				logmsg.KeyRemedy, "correct the file; the old endpoints serve, and it is looked at again")
		}
		select {
		case <-ctx.Done():
			return
		case <-r.pending:
			logged = ""
		case <-time.After(inventoryRetryInterval):
		}
	}
}

// readStable looks at the inventory until it counts as complete. The error is that of ctx.
func (r *inventoryReloader) readStable(ctx context.Context) (reading inventory.Reading, err error) {
	log := postponedLog{path: r.reader.Path}
	err = inputfile.WaitStable(ctx, inputfile.ReloadWindows, func() stability.Look {
		reading = r.reader.Look()
		return reading.Look
	}, log.note)
	return reading, err
}

// accept puts a reading in force. Endpoints that are no longer in it start to drain.
func (r *inventoryReloader) accept(reading inventory.Reading) {
	endpoints := r.reader.Apply(reading.Hosts, r.clock())
	changes := r.reader.Changes()
	acceptedReadings.Inc()
	slog.Info(logmsg.InventoryReloaded, "endpoints", len(endpoints),
		"added", changes.Added, "removed", changes.Removed, "changed", changes.Changed)
	r.update(endpoints)
}

// postponedLog logs why an inventory does not count as complete: when the reason changes, and every
// postponedLogInterval. That it has not been looked at for long enough is not logged, since it is so at each reading.
type postponedLog struct {
	path     string
	last     stability.Reason
	loggedAt time.Time
}

// note logs a reason if that is due.
func (l *postponedLog) note(reason stability.Reason) {
	if reason == stability.Unchecked || reason == l.last && time.Since(l.loggedAt) < postponedLogInterval {
		return
	}
	l.last, l.loggedAt = reason, time.Now()
	postponedReadings.Inc()
	slog.Info(logmsg.InventoryPostponed, "file", l.path, logmsg.KeyReason, reason.String())
}
