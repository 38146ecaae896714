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
	"harepass/internal/decide/scatter"
	"harepass/internal/http1"
	"harepass/internal/logmsg"
)

const (
	// maxListHead and maxListBody bound an answer of discovery, in bytes.
	maxListHead = 16 << 10
	maxListBody = 4 << 20

	// instancesPath is where discovery gives out the endpoint list.
	instancesPath = "/registry/instances"
	// pollHold is how long discovery may hold a call that is to be answered at once: the least time that it takes.
	pollHold = time.Millisecond
)

// serveSubscription serves one subscription on a connection of its own, until a call fails or the address changes.
func (d *Discovery) serveSubscription(ctx context.Context) (moved bool, failure *pollFailure) {
	ctx, cancel := context.WithCancel(ctx)
	limits := http1.Limits{Head: maxListHead, Body: maxListBody}
	client := &http1.Client{Address: d.address, Dial: d.Dial, Limits: limits}
	next := make(chan string, 1) // the new address; closed without one
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
	// The address changes only now: what poll has taken over until here came from the old one.
	if address, moved := <-next; moved {
		d.address = address
		return true, failure
	}
	return false, failure
}

// poll calls for the list and its changes until a call fails. What cannot be used is not taken over, and the next
// call asks for the complete list.
func (d *Discovery) poll(ctx context.Context, client *http1.Client) *pollFailure {
	for watch := false; ; watch = true {
		d.applyTuning()
		target, timeout, hold := d.nextCall(watch)
		began := d.Clock()
		data, err := call(ctx, client, target, timeout)
		took := d.Clock() - began
		if err != nil {
			return &pollFailure{watch: watch, began: began, took: took, err: err}
		}
		list, endpoints, err := d.read(data)
		if err != nil {
			d.index = unknownIndex
			return &pollFailure{began: began, err: err}
		}
		d.Schedule.Succeeded()
		d.outage.answeredWith(list.Index)
		changed := list.Index != d.index || list.Snapshot
		d.takeOver(list, endpoints, changed, watch)
		if watch && !changed && took >= hold { // there was nothing newer at its end
			began += hold
		}
		d.lease.Confirmed(began)
		d.reportLease()
		if watch && !changed {
			if err := pause(ctx, d.Schedule.RenewDelay(took)); err != nil {
				return &pollFailure{watch: watch, began: d.Clock(), err: err}
			}
		}
	}
}

// nextCall is the next call's target and time-out, and how long discovery may hold a watch. A watch that is renewed
// in time costs discovery no queued call. The first call of a subscription is answered at once, with what is new or
// with nothing.
func (d *Discovery) nextCall(watch bool) (target string, timeout, hold time.Duration) {
	hold, silence := d.Schedule.WatchTimeouts()
	switch {
	case d.index == unknownIndex:
		return instancesPath, d.Schedule.AnswerTimeout(), hold
	case watch:
		return d.changesSince(hold), hold + silence, hold
	default:
		return d.changesSince(pollHold), d.Schedule.AnswerTimeout(), hold
	}
}

// changesSince is the target of a call for what is newer than the version that the coordinator has; discovery may
// hold it for a time where nothing is.
func (d *Discovery) changesSince(hold time.Duration) string {
	return fmt.Sprintf("%s?from=%d&hold_ms=%d", instancesPath, d.index, hold.Milliseconds())
}

// takeOver hands an answer on. A watch that brought nothing is not handed on: the coordinator knows by the
// subscription's first answer that it is told of changes.
func (d *Discovery) takeOver(list List, endpoints []core.Endpoint, changed, watch bool) {
	kind := scatter.IncrementalUpdate
	if list.Snapshot {
		kind = scatter.FullUpdate
	}
	d.index = list.Index
	if d.copy != nil && changed {
		d.copy.Merge(d.address, list)
		d.changed()
	}
	if changed || !watch {
		d.Listed(kind, endpoints)
	}
}

// read checks an answer before anything of it counts.
func (d *Discovery) read(data []byte) (list List, endpoints []core.Endpoint, err error) {
	if err = json.Unmarshal(data, &list); err != nil {
		return list, nil, fmt.Errorf("%w: %w", errUnreadableList, err)
	}
	if !list.Snapshot && list.Index < d.index {
		return list, nil, fmt.Errorf("%w from version %d to %d", errListWentBack, d.index, list.Index)
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

// call sends one call to discovery and returns the body of its answer.
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
