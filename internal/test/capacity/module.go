package capacity

import (
	"fmt"
	"strconv"
	"time"

	"harepass/internal/decide/scatter"
)

// module runs the decision module alone, on a virtual clock and with a list of nodes. Nodes serve each part in the same
// time. Each arrival and each outcome is a separate step, as with real sockets.
type module struct {
	machine          *scatter.Machine
	now              time.Duration
	nodes            int
	sections         int // number of sections that queries ask
	number           int64
	attempts         map[string]int // attempts of each open part, by part
	due              []outcome      // pending outcomes, in order of time
	sent             int
	answered         int
	rejectedOrFailed int
}

// outcome is the end of an attempt that occurs at a later virtual time.
type outcome struct {
	at    time.Duration
	event scatter.AttemptEnded
}

// newModule returns a module that has its list of nodes. Its queries ask the first sections of the list in rotation.
func newModule(nodes, sections int) (*module, error) {
	machine, err := scatter.New(1, settings(nodes))
	if err != nil {
		return nil, err
	}
	m := &module{machine: machine, now: virtualStart, nodes: nodes, sections: sections, attempts: map[string]int{}}
	m.step(scatter.EndpointUpdate{Kind: scatter.FullUpdate, Replicas: replicas(nodes)})
	return m, nil
}

func (m *module) step(events ...scatter.Event) {
	for _, action := range m.machine.Step(m.now, events) {
		switch a := action.(type) {
		case scatter.Send:
			m.sent++
			m.due = append(m.due, outcome{m.now + served, scatter.AttemptEnded{Part: a.Part, Attempt: m.attempts[a.Part],
				Replica: a.Replica, Outcome: scatter.Succeeded, Latency: served}})
			m.attempts[a.Part]++
		case scatter.Answer:
			m.answered++
		case scatter.Reject, scatter.Fail:
			m.rejectedOrFailed++
		}
	}
}

// advance moves the virtual clock to a time and delivers the outcomes that are due by then.
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

// change delivers an endpoint update for one node that has restarted.
func (m *module) change(no int) {
	m.advance(m.now + changeInterval)
	m.step(scatter.EndpointUpdate{Kind: scatter.IncrementalUpdate, Replicas: []scatter.Replica{
		{ID: nodeName(no), RingPosition: no, Zone: zone(no), StartedAt: m.now}}})
}

// query advances the clock by after and opens a query with the given number of parts.
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

// queryEverySection has queries ask every section, and waits for their answers, so that the module keeps routing shares
// of each section.
func (m *module) queryEverySection() {
	parts := min(QueryParts, m.sections)
	for range (m.sections + parts - 1) / parts {
		m.query(parts, 2*served)
	}
	m.advance(m.now + 2*served)
}

// checkAllAnswered returns an error unless every query was answered, with none rejected or failed.
func (m *module) checkAllAnswered() error {
	m.advance(m.now + 2*served)
	if m.rejectedOrFailed > 0 || m.answered != int(m.number) {
		return fmt.Errorf("capacity: sent %d queries, %d answered, %d rejected or failed", m.number, m.answered, m.rejectedOrFailed)
	}
	return nil
}

// changeModule measures one changed entry, without queries.
func changeModule(nodes int) (*subject, error) {
	m, err := newModule(nodes, 1)
	no := 0
	return &subject{unit: time.Microsecond, operate: func() error {
		no++
		m.change(no % nodes)
		return nil
	}}, err
}

// changeTouched measures the same after queries have asked every section.
func changeTouched(nodes int) (*subject, error) {
	s, err := changeModule(nodes)
	if err != nil {
		return nil, err
	}
	m, err := newModule(nodes, nodes)
	if err != nil {
		return nil, err
	}
	m.queryEverySection()
	no := 0
	s.operate = func() error {
		no++
		m.change(no % nodes)
		return nil
	}
	s.check = func(int) error { return m.checkAllAnswered() }
	return s, nil
}

// renewShares measures what the module does by itself each second, after queries have asked every section.
func renewShares(nodes int) (*subject, error) {
	m, err := newModule(nodes, nodes)
	if err != nil {
		return nil, err
	}
	m.queryEverySection()
	return &subject{unit: time.Microsecond, operate: func() error {
		m.advance(m.now + time.Second)
		m.step(scatter.TimerFired{})
		return nil
	}, check: func(int) error { return m.checkAllAnswered() }}, nil
}

// idleSecond measures what the module does by itself each second, without queries.
func idleSecond(nodes int) (*subject, error) {
	m, err := newModule(nodes, 1)
	return &subject{unit: time.Microsecond, operate: func() error {
		m.advance(m.now + time.Second)
		m.step(scatter.TimerFired{})
		return nil
	}}, err
}

// queryByNodes measures a query of QueryParts parts, always over the same sections, at the rate of one coordinator.
func queryByNodes(nodes int) (*subject, error) { return queries(nodes, pace()) }

// queryTouched measures queries at the same rate that ask all sections in rotation, after each section was asked once.
// Its cost includes the renewal of routing shares, whenever the module does that. One operation is count queries.
func queryTouched(count int) func(nodes int) (*subject, error) {
	return func(nodes int) (*subject, error) {
		m, err := newModule(nodes, nodes)
		if err != nil {
			return nil, err
		}
		m.queryEverySection()
		return &subject{unit: time.Microsecond, parts: count, operate: func() error {
			for range count {
				m.query(min(QueryParts, nodes), pace())
			}
			return nil
		}, check: func(int) error { return m.checkAllAnswered() }}, nil
	}
}

// queryByOpen measures a query for openNodes nodes while about the given number of queries are open.
func queryByOpen(open int) (*subject, error) { return queries(openNodes, served/time.Duration(open)) }

const openNodes = 700 // list size of queryByOpen

// pace returns the time between two queries at one coordinator.
func pace() time.Duration { return time.Second * Coordinators / QueriesAll }

func queries(nodes int, every time.Duration) (*subject, error) {
	m, err := newModule(nodes, QueryParts)
	if err != nil {
		return nil, err
	}
	for range 3 * int(served/every+1) { // until the number of open queries is steady
		m.query(QueryParts, every)
	}
	return &subject{unit: time.Microsecond, operate: func() error {
		m.query(QueryParts, every)
		return nil
	}, check: func(int) error { return m.checkAllAnswered() }}, nil
}

// changesBySecond measures one second with the given number of changes, without queries.
func changesBySecond(nodes int) func(changes int) (*subject, error) {
	return func(changes int) (*subject, error) {
		m, err := newModule(nodes, 1)
		no := 0
		return &subject{unit: time.Millisecond, operate: func() error {
			for range changes {
				no++
				m.advance(m.now + time.Second/time.Duration(changes) - changeInterval)
				m.change(no % nodes)
			}
			return nil
		}}, err
	}
}
