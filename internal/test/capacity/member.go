package capacity

import (
	"context"
	"errors"
	"fmt"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/failover"
	"harepass/internal/decide/scatter"
	"harepass/internal/distribution"
	"harepass/internal/platform"
)

// member is the control path of a coordinator that reads its list from a relay: the follower, the coordinator's loop
// and the decision module. The relay is a helper.
type member struct {
	owner    *core.Coordinator
	follower *distribution.Follower
	cancel   context.CancelFunc
	done     chan struct{} // closed when the follower has returned
	turns    chan struct{} // receives a token for each tick of the coordinator
	whole    chan struct{} // closed when the snapshot is complete
}

// newMember starts a member and waits until it has its list. The relay holds each watch without news for hold.
func newMember(nodes int, address string, hold time.Duration) (*member, error) {
	m := &member{done: make(chan struct{}), turns: make(chan struct{}, 1), whole: make(chan struct{})}
	var err error
	m.owner, err = core.New(core.Config{Seed: 1, Clock: core.SystemClock(), Settings: settings(nodes), Subscribe: func() {},
		PolledSource: platform.Source, Callers: map[string]core.Caller{platform.Scheme: noopCaller{}}, Admitter: tickAdmitter(m.turns)})
	if err != nil {
		return nil, err
	}
	d := platform.NewRelayedList(platform.List{})
	d.Listed = func(scope scatter.UpdateKind, nodes []core.Endpoint) {
		m.owner.UpdateEndpoints(platform.Source, scope, nodes)
	}
	d.Part = func(nodes []core.Endpoint) { m.owner.UpdateEndpointsPartially(platform.Source, nodes) }
	m.follower = distribution.New(distribution.Config{Path: distribution.Endpoints, Sources: []failover.Source{{Address: address}}, Check: d.Check, Heartbeat: hold,
		Apply: func(u distribution.Update) {
			d.Apply(u)
			if u.SnapshotCompleted {
				close(m.whole)
			}
		}})
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.owner.UpdateEndpoints(platform.Source, scatter.CachedUpdate, nil)
	go m.owner.Run()
	go func() { m.follower.Run(ctx); close(m.done) }()
	if err := wait(m.whole); err != nil {
		return nil, errors.Join(err, m.end())
	}
	return m, wait(m.owner.Started())
}

// end stops the member and waits for its follower.
func (m *member) end() error {
	m.cancel()
	m.owner.Stop()
	return wait(m.done)
}

// startMember starts a relay and a member that follows it.
func startMember(nodes int, hold time.Duration, helpers Helpers) (*member, *helper, error) {
	h, address, err := startHelper(helpers, helpRelay, fmt.Sprint(nodes))
	if err != nil {
		return nil, nil, err
	}
	m, err := newMember(nodes, address, hold)
	if err != nil {
		h.close()
		return nil, nil, err
	}
	return m, h, nil
}

// memberChange measures one changed entry, from a relay's answer to the decision module.
func memberChange(helpers Helpers) func(nodes int) (*subject, error) {
	return func(nodes int) (*subject, error) {
		m, h, err := startMember(nodes, longHold, helpers)
		if err != nil {
			return nil, err
		}
		before := m.follower.Counters().Entries
		return &subject{unit: time.Microsecond, end: func() { m.end(); h.close() },
			operate: func() error {
				drain(m.turns)
				if _, err := h.request("change"); err != nil {
					return err
				}
				return wait(m.turns)
			},
			check: func(operated int) error {
				if taken := m.follower.Counters().Entries - before; taken != int64(operated) {
					return fmt.Errorf("capacity: relay published %d changes, follower applied %d entries", operated, taken)
				}
				return nil
			}}, nil
	}
}

// memberList measures the start of a coordinator that reads the full list in slices.
func memberList(helpers Helpers) func(nodes int) (*subject, error) {
	return func(nodes int) (*subject, error) {
		h, address, err := startHelper(helpers, helpRelay, fmt.Sprint(nodes))
		if err != nil {
			return nil, err
		}
		return &subject{unit: time.Millisecond, end: h.close, operate: func() error {
			m, err := newMember(nodes, address, longHold)
			if err != nil {
				return err
			}
			return m.end()
		}}, nil
	}
}

// memberListBytes measures the bytes of that on the wire, both ways, in megabytes.
func memberListBytes(helpers Helpers) func(nodes int) (*subject, error) {
	return func(nodes int) (*subject, error) {
		return &subject{figure: func() (float64, error) {
			m, h, err := startMember(nodes, longHold, helpers)
			if err != nil {
				return 0, err
			}
			defer h.close()
			c := m.follower.Counters()
			return float64(c.BytesRead+c.BytesWritten) / 1e6, m.end()
		}}, nil
	}
}

const (
	shortHold = 2 * time.Millisecond // of watches in the series on renewals, which renew them continuously
	renewals  = 50                   // in one operation
)

// awaitRenewals waits until a member has renewed its watch the given number of times.
func (m *member) awaitRenewals(times int64) error {
	from := m.follower.Counters().Calls
	for began := time.Now(); time.Since(began) < answerWait; time.Sleep(renewals * shortHold / 5) {
		if m.follower.Counters().Calls >= from+times {
			return nil
		}
	}
	return errWaitTimeout
}

// memberRenewal measures a watch at a relay that ends without changes and is renewed.
func memberRenewal(helpers Helpers) func(nodes int) (*subject, error) {
	return func(nodes int) (*subject, error) {
		m, h, err := startMember(nodes, shortHold, helpers)
		if err != nil {
			return nil, err
		}
		return &subject{unit: time.Microsecond, parts: renewals, end: func() { m.end(); h.close() },
			operate: func() error { return m.awaitRenewals(renewals) }}, nil
	}
}

// memberRenewalBytes measures the bytes of such a renewal on the wire, both ways.
func memberRenewalBytes(helpers Helpers) func(nodes int) (*subject, error) {
	return func(nodes int) (*subject, error) {
		return &subject{figure: func() (float64, error) {
			m, h, err := startMember(nodes, shortHold, helpers)
			if err != nil {
				return 0, err
			}
			defer h.close()
			before := m.follower.Counters()
			err = m.awaitRenewals(renewals)
			after := m.follower.Counters()
			bytes := after.BytesRead + after.BytesWritten - before.BytesRead - before.BytesWritten
			return float64(bytes) / float64(after.Calls-before.Calls), errors.Join(err, m.end())
		}}, nil
	}
}
