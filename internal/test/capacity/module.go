package capacity

import (
	"fmt"
	"strconv"
	"time"

	"harepass/internal/decide/scatter"
)

// module is the decision module alone on a virtual clock: it has a list of nodes, and each part that it sends is served after
// the same time. Every arrival and outcome is a step of its own, as sockets bring them.
type module struct {
	agg      *scatter.Machine
	now      time.Duration
	nodes    int
	sections int // that queries ask
	number   int64
	attempts map[string]int // of each part that is out
	due      []outcome      // in order of time
	sent     int
	answered int
	gaveUp   int
}

// outcome is on its way.
type outcome struct {
	at    time.Duration
	event scatter.AttemptEnded
}

// newModule gives a module its list of nodes; its queries ask the first so many sections in turn.
func newModule(nodes, sections int) (*module, error) {
	agg, err := scatter.New(1, settings(nodes))
	if err != nil {
		return nil, err
	}
	m := &module{agg: agg, now: started, nodes: nodes, sections: sections, attempts: map[string]int{}}
	m.step(scatter.EndpointUpdate{Kind: scatter.FullUpdate, Replicas: replicas(nodes)})
	return m, nil
}

func (m *module) step(events ...scatter.Event) {
	for _, action := range m.agg.Step(m.now, events) {
		switch a := action.(type) {
		case scatter.Send:
			m.sent++
			m.due = append(m.due, outcome{m.now + served, scatter.AttemptEnded{Part: a.Part, Attempt: m.attempts[a.Part],
				Replica: a.Replica, Outcome: scatter.Succeeded, Latency: served}})
			m.attempts[a.Part]++
		case scatter.Answer:
			m.answered++
		case scatter.Reject, scatter.Fail:
			m.gaveUp++
		}
	}
}

// advance goes on to a time, and takes the outcomes that are due before it.
func (m *module) advance(to time.Duration) {
	for len(m.due) > 0 && m.due[0].at <= to {
		next := m.due[0]
		m.due = m.due[1:]
		m.now = max(m.now, next.at)
		delete(m.attempts, next.event.Part)
		m.step(next.event)
	}
	m.now = to
}

// change tells of one node that has restarted.
func (m *module) change(no int) {
	m.advance(m.now + interval)
	m.step(scatter.EndpointUpdate{Kind: scatter.IncrementalUpdate, Replicas: []scatter.Replica{
		{ID: nodeName(no), RingPosition: no, Zone: zone(no), StartedAt: m.now}}})
}

// query opens a query of so many parts, some time after the last one.
func (m *module) query(parts int, after time.Duration) {
	m.advance(m.now + after)
	m.number++
	id := strconv.FormatInt(m.number, 10)
	events := []scatter.Event{scatter.QueryArrived{ID: id, Number: m.number, Class: "search", Expires: m.now + time.Second, Parts: parts}}
	for i := range parts {
		section := (int(m.number-1)*parts + i) % m.sections
		events = append(events, scatter.PartArrived{ID: id + "." + strconv.Itoa(i), Number: m.number, Shard: section, Weight: 1 / float64(parts)})
	}
	m.step(events...)
}

// touch has every section asked once, and all answered, so that the module keeps shares of each.
func (m *module) touch() {
	parts := min(QueryParts, m.sections)
	for range (m.sections + parts - 1) / parts {
		m.query(parts, 2*served)
	}
	m.advance(m.now + 2*served)
}

// settled tells whether all queries were answered from as many parts as were asked for.
func (m *module) settled() error {
	m.advance(m.now + 2*served)
	if m.gaveUp > 0 || m.answered != int(m.number) {
		return fmt.Errorf("capacity: %d queries, %d answered, %d refused or failed", m.number, m.answered, m.gaveUp)
	}
	return nil
}

// changeModule is one changed entry in a list that is watched, without queries.
func changeModule(nodes int) (*subject, error) {
	m, err := newModule(nodes, 1)
	no := 0
	return &subject{unit: time.Microsecond, operate: func() error {
		no++
		m.change(no % nodes)
		return nil
	}}, err
}

// changeTouched is the same where queries have asked every section.
func changeTouched(nodes int) (*subject, error) {
	s, err := changeModule(nodes)
	if err != nil {
		return nil, err
	}
	m, err := newModule(nodes, nodes)
	if err != nil {
		return nil, err
	}
	m.touch()
	no := 0
	s.operate = func() error {
		no++
		m.change(no % nodes)
		return nil
	}
	s.check = func(int) error { return m.settled() }
	return s, nil
}

// renewShares is what the module does once a second by itself where queries have asked every section.
func renewShares(nodes int) (*subject, error) {
	m, err := newModule(nodes, nodes)
	if err != nil {
		return nil, err
	}
	m.touch()
	return &subject{unit: time.Microsecond, operate: func() error {
		m.advance(m.now + time.Second)
		m.step(scatter.TimerFired{})
		return nil
	}, check: func(int) error { return m.settled() }}, nil
}

// idleSecond is what it does once a second where nobody asks.
func idleSecond(nodes int) (*subject, error) {
	m, err := newModule(nodes, 1)
	return &subject{unit: time.Microsecond, operate: func() error {
		m.advance(m.now + time.Second)
		m.step(scatter.TimerFired{})
		return nil
	}}, err
}

// queryByNodes is a query of QueryParts parts over the same sections, at the pace of one coordinator.
func queryByNodes(nodes int) (*subject, error) { return queries(nodes, pace()) }

// queryTouched is one at the same pace whose sections come in turn from all there are, every one of them asked before: the renewal of
// shares is in it, whenever the module does that. One operation is so many queries.
func queryTouched(count int) func(nodes int) (*subject, error) {
	return func(nodes int) (*subject, error) {
		m, err := newModule(nodes, nodes)
		if err != nil {
			return nil, err
		}
		m.touch()
		return &subject{unit: time.Microsecond, parts: count, operate: func() error {
			for range count {
				m.query(min(QueryParts, nodes), pace())
			}
			return nil
		}, check: func(int) error { return m.settled() }}, nil
	}
}

// queryByOpen is one before leastNodes nodes while about so many are open.
func queryByOpen(open int) (*subject, error) { return queries(openNodes, served/time.Duration(open)) }

const openNodes = 700 // of the measurement by open queries

// pace is the time between two queries at one coordinator.
func pace() time.Duration { return time.Second * Coordinators / QueriesAll }

func queries(nodes int, every time.Duration) (*subject, error) {
	m, err := newModule(nodes, QueryParts)
	if err != nil {
		return nil, err
	}
	for range 3 * int(served/every+1) { // so that as many are open as there will be
		m.query(QueryParts, every)
	}
	return &subject{unit: time.Microsecond, operate: func() error {
		m.query(QueryParts, every)
		return nil
	}, check: func(int) error { return m.settled() }}, nil
}

// changesBySecond is a second at DataNodes nodes with so many changes, without queries.
func changesBySecond(nodes int) func(changes int) (*subject, error) {
	return func(changes int) (*subject, error) {
		m, err := newModule(nodes, 1)
		no := 0
		return &subject{unit: time.Millisecond, operate: func() error {
			for range changes {
				no++
				m.advance(m.now + time.Second/time.Duration(changes) - interval)
				m.change(no % nodes)
			}
			return nil
		}}, err
	}
}
