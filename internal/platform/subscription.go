package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/textproto"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/listversion"
	"harepass/internal/decide/scatter"
	"harepass/internal/http1"
	"harepass/internal/logmsg"
)

const (
	// maxListHead and maxListBody bound an answer of discovery, in bytes.
	maxListHead = 16 << 10
	maxListBody = 4 << 20

	// instancesPath is the path at which discovery serves the endpoint list.
	instancesPath = "/registry/instances"
	// pollHold is how long discovery may hold a call that is to be answered at once: the shortest hold it accepts.
	pollHold = time.Millisecond
)

// pollCall is one call to discovery.
type pollCall struct {
	watch     bool          // discovery may hold the call until there is a change
	target    string        // path and query
	timeout   time.Duration // for the answer
	hold      time.Duration // how long discovery may hold a watch
	from      int64         // version that the call names, or unknownIndex
	adoptions int           // Discovery.adoptions when the call began
	began     time.Duration
}

// serveSubscription serves one subscription on its own connection until a call fails or the address changes. It returns
// the new address, or "" if the address has not changed.
func (d *Discovery) serveSubscription(ctx context.Context) (newAddress string, failure *pollFailure) {
	ctx, cancel := context.WithCancel(ctx)
	limits := http1.Limits{Head: maxListHead, Body: maxListBody, Fields: http1.NoFields}
	client := &http1.Client{Address: d.address, Dial: d.Dial, Limits: limits}
	next := make(chan string, 1) // receives a new address, if there is one, and is closed
	go func() {
		defer close(next)
		select {
		case address := <-d.newAddress:
			next <- address
			cancel()
		case <-ctx.Done():
		}
	}()
	failure = d.poll(ctx, client)
	client.Close()
	cancel()
	// The caller changes d.address only now, because all answers that poll has applied came from the old address.
	return <-next, failure
}

// poll requests the list and then its changes until a call fails. An unusable answer is not applied, and the next call
// requests the complete list.
func (d *Discovery) poll(ctx context.Context, client *http1.Client) *pollFailure {
	for watch := false; ; watch = true {
		d.applyTuning()
		c := d.nextCall(watch)
		data, err := call(ctx, client, c.target, c.timeout)
		took := d.Clock() - c.began
		if err != nil {
			return &pollFailure{watch: watch, began: c.began, took: took, err: err}
		}
		changed, err := d.takeOver(c, data)
		if err != nil {
			return &pollFailure{began: c.began, err: err}
		}
		if watch && !changed {
			if err := pause(ctx, d.Schedule.RenewDelay(took)); err != nil {
				return &pollFailure{watch: watch, began: d.Clock(), err: err}
			}
		}
	}
}

// nextCall returns the next call. Renewing a watch in time costs discovery no queued call. The first call of a
// subscription is answered at once, with or without changes.
func (d *Discovery) nextCall(watch bool) pollCall {
	hold, silence := d.Schedule.WatchTimeouts()
	d.mu.Lock()
	defer d.mu.Unlock()
	c := pollCall{watch: watch, hold: hold, from: d.index, adoptions: d.adoptions, began: d.Clock()}
	switch {
	case c.from == unknownIndex:
		c.target, c.timeout = instancesPath, d.Schedule.AnswerTimeout()
	case watch:
		c.target, c.timeout = changesSince(c.from, hold), hold+silence
	default:
		c.target, c.timeout = changesSince(c.from, pollHold), d.Schedule.AnswerTimeout()
	}
	return c
}

// changesSince returns the target of a call for the changes since a version. Discovery may hold the call for a time
// while there are none.
func changesSince(version int64, hold time.Duration) string {
	return fmt.Sprintf("%s?from=%d&hold_ms=%d", instancesPath, version, hold.Milliseconds())
}

// takeOver applies the answer to a call and passes it to the coordinator, unless it cannot be used. It does not pass on
// a watch without changes: the first answer of the subscription has already shown the coordinator that it receives
// changes. changed reports whether the answer has changed the list.
func (d *Discovery) takeOver(c pollCall, data []byte) (changed bool, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list, endpoints, err := d.read(c, data)
	if err != nil {
		d.index = unknownIndex
		return false, err
	}
	d.Schedule.Succeeded()
	d.outage.answeredWith(list.Index)
	if d.isOvertaken(c, list) {
		if !c.watch {
			d.Listed(scatter.IncrementalUpdate, nil)
		}
		return false, nil
	}
	changed = list.Index != d.index || list.Snapshot
	d.apply(c, list, changed)
	if changed || !c.watch {
		d.Listed(updateKind(list), endpoints)
	}
	d.reportLease()
	return changed, nil
}

// isOvertaken reports whether an answer is older than a version that was adopted from another process while discovery
// held the call.
func (d *Discovery) isOvertaken(c pollCall, list List) bool {
	return d.adoptions != c.adoptions && list.Index < d.index
}

// apply records the list, or the changes, of an answer, and that they were the latest ones.
func (d *Discovery) apply(c pollCall, list List, changed bool) {
	now := d.Clock()
	confirmed := c.began
	if c.watch && list.Index == c.from && !list.Snapshot && now-c.began >= c.hold {
		confirmed += c.hold // the list was still the latest one at the end of the hold
	}
	d.lease.Confirmed(confirmed)
	if !changed {
		d.version.ConfirmedAt, d.version.HeardAt = max(d.version.ConfirmedAt, confirmed), now
		return
	}
	d.index = list.Index
	d.version = listversion.Known{Service: d.address, Numbering: d.numberingWith(list.Index, now), Index: list.Index,
		ConfirmedAt: confirmed, HeardAt: now}
	d.logChange(list)
	if d.copy != nil {
		d.copy.Merge(d.address, list)
		d.changed()
	}
}

// numberingWith returns the numbering of an answer with an index. It is a new one if the service has gone back.
func (d *Discovery) numberingWith(index int64, now time.Duration) int64 {
	switch {
	case d.version.Service != d.address:
		return 0
	case index < d.version.Index:
		return int64(now)
	}
	return d.version.Numbering
}

// logChange adds an answer to the log of changes. A complete list begins a new log.
func (d *Discovery) logChange(list List) {
	if list.Snapshot {
		d.log.reset(list.Index)
	} else {
		d.log.add(list)
	}
}

// updateKind returns the kind of update that an answer is to the coordinator.
func updateKind(list List) scatter.UpdateKind {
	if list.Snapshot {
		return scatter.FullUpdate
	}
	return scatter.IncrementalUpdate
}

// read parses and checks an answer before any of it is applied.
func (d *Discovery) read(c pollCall, data []byte) (list List, endpoints []core.Endpoint, err error) {
	if err = json.Unmarshal(data, &list); err != nil {
		return list, nil, fmt.Errorf("%w: %w", errUnreadableList, err)
	}
	if !list.Snapshot && list.Index < c.from {
		return list, nil, fmt.Errorf("%w: known version %d, received %d", errOutdatedList, c.from, list.Index)
	}
	endpoints, err = list.CoreEndpoints()
	return list, endpoints, err
}

// pause waits for a time, or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
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

// call makes one call to discovery and returns the body of the answer.
func call(ctx context.Context, client *http1.Client, target string, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	request := &http1.Message{
		Method: http.MethodGet,
		Target: target,
		Header: textproto.MIMEHeader{"Host": {client.Address}},
	}
	answer, _, err := client.Do(ctx, request)
	slog.Debug(logmsg.DiscoveryPolled, "target", target, logmsg.KeyLatency, time.Since(began), logmsg.KeyError, err)
	switch {
	case err != nil:
		return nil, err
	case answer.Status == http.StatusServiceUnavailable:
		return nil, errUnavailable
	case answer.Status != http.StatusOK:
		return nil, &statusError{answer.Status}
	}
	return answer.Body, nil
}
