package capacity

import (
	"fmt"
	"io"
	"log/slog"
	"time"

	"harepass/internal/distribution"
)

// Plan sets the sizes that a run measures and the effort that it spends on each.
type Plan struct {
	Nodes       []int
	Wide        []int // nodes, for costs that grow with the square of the nodes
	Asked       []int // nodes, in series whose queries ask all sections
	Queries     int   // of one operation in these series: those of one second, because shares are renewed once a second
	Open        []int
	Parts       []int
	Entries     []int // changed entries in one answer
	Rates       []int // changed entries a second
	Connections []int
	Fleet       []int // coordinators
	Effort      Effort
	Readers     []int         // readers of one relay
	Heartbeat   time.Duration // how long a relay holds a watch without news
	Helpers     Helpers
}

// Full is the plan whose run the page shows. It takes some minutes.
func Full(helpers Helpers) Plan {
	return Plan{Nodes: []int{70, 220, 700, 2200, DataNodes}, Wide: []int{70, 220, 700, 2200, DataNodes}, Asked: []int{QueryParts, 350, 1000, 2600, DataNodes}, Queries: QueriesAll / Coordinators, Open: []int{1, 4, 12, 36}, Parts: []int{4, 12, 40, QueryParts},
		Entries: []int{4, 12, 37, 115, zoneEntries}, Rates: []int{1, 3, 10, 32}, Connections: []int{46, 146, 466, 1466, keptNodes},
		Fleet: []int{15, 47, 150, 475, Coordinators}, Effort: Effort{Repeats: 5, CPU: 25 * time.Millisecond, Most: 2000}, Readers: []int{10, 32, 100, 320, 1000}, Heartbeat: heartbeat, Helpers: helpers}
}

// Small has the same series as Full at small sizes, for tests. Each point takes a few operations.
func Small() Plan {
	return Plan{Nodes: []int{6, 12, 24, 60}, Wide: []int{6, 12, 24, 60}, Asked: []int{6, 12, 24, 60}, Queries: 2, Open: []int{1, 2, 4, 10}, Parts: []int{1, 2, 4, 10}, Entries: []int{1, 2, 4, 10},
		Rates: []int{1, 2, 4, 10}, Connections: []int{1, 2, 4, 10}, Fleet: []int{3, 10, 20, 30}, Effort: Effort{Repeats: 1, CPU: 100 * time.Microsecond, Most: 50}, Readers: []int{1, 2, 4, 10}, Heartbeat: 20 * time.Millisecond, Helpers: HelpInThisProcess}
}

const (
	heartbeat   = distribution.DefaultHeartbeat
	zoneEntries = DataNodes / Zones                     // nodes in a zone
	keptNodes   = (2*DataNodes + holders - 1) / holders // nodes connected to a coordinator: two holders of each section
)

func last(sizes []int) int { return sizes[len(sizes)-1] }

// probes returns the probes of a plan, one for each series.
func (p Plan) probes() []probe {
	list := last(p.Nodes)
	return []probe{
		{Series{Name: "change-module", Title: "one changed entry, module alone, no queries", Variable: "nodes", Unit: "us CPU", Form: Linear, Residual: 0.35}, p.Nodes, changeModule},
		{Series{Name: "change-path", Title: "one changed entry: decode, owner, module", Variable: "nodes", Unit: "us CPU", Form: Linear, Residual: 0.35}, p.Nodes, changePath},
		{Series{Name: "change-touched", Title: "one changed entry, module alone, every section asked before", Variable: "nodes", Unit: "us CPU", Form: Power, Residual: 0.5}, p.Wide, changeTouched},
		{Series{Name: "idle-second", Title: "the module's own work each second, no queries", Variable: "nodes", Unit: "us CPU", Form: Linear, Residual: 0.35}, p.Nodes, idleSecond},
		{Series{Name: "renew-shares", Title: "the module's own work each second, every section asked before", Variable: "nodes", Unit: "us CPU", Form: Power, Residual: 0.5}, p.Wide, renewShares},
		{Series{Name: "changes-rate", Title: "a second with so many changes, module alone", Variable: "changes a second", Unit: "ms CPU", Form: Linear, Residual: 0.35}, p.Rates, changesBySecond(list)},
		{Series{Name: "list-path", Title: "the whole list at a start: decode, owner, module", Variable: "nodes", Unit: "ms CPU", Form: Power, Residual: 0.5}, p.Nodes, listPath},
		{Series{Name: "zone-together", Title: "changed entries in one answer", Variable: "entries", Unit: "us CPU", Form: Linear, Residual: 0.35}, p.Entries, changesTogether(list)},
		{Series{Name: "zone-singly", Title: "changed entries in an answer each", Variable: "entries", Unit: "us CPU", Form: Linear, Residual: 0.35}, p.Entries, changesSingly(list)},
		{Series{Name: "renewal", Title: "a watch without news, renewed", Variable: "nodes", Unit: "us CPU", Form: Power, Residual: 0.35}, p.Nodes, renewal},
		{Series{Name: "renewal-bytes", Title: "the same on the wire, both ways", Variable: "nodes", Unit: "bytes", Form: Power, Residual: 0.05}, p.Nodes, renewalBytes},
		{Series{Name: "list-bytes", Title: "the whole list on the wire", Variable: "nodes", Unit: "MB", Form: Power, Residual: 0.1}, p.Nodes, listBytes},
		{Series{Name: "list-memory", Title: "live heap with the list", Variable: "nodes", Unit: "MB", Form: Power, Residual: 0.5}, p.Nodes, listMemory},
		{Series{Name: "query-module", Title: fmt.Sprintf("module, a query of %d parts over %d sections, each served after %v", QueryParts, QueryParts, served), Variable: "nodes", Unit: "us CPU", Form: Linear, Residual: 0.35}, p.Nodes, queryByNodes},
		{Series{Name: "query-touched", Title: fmt.Sprintf("the same over all sections in turn, every section asked before, %d a second", QueriesAll/Coordinators), Variable: "nodes", Unit: "us CPU", Form: Linear, Residual: 0.35}, p.Asked, queryTouched(p.Queries)},
		{Series{Name: "query-open", Title: fmt.Sprintf("the first of these before %d nodes", openNodes), Variable: "open queries", Unit: "us CPU", Form: Linear, Residual: 0.35}, p.Open, queryByOpen},
		{Series{Name: "query-parts", Title: "a query through front, owner, module and nodes' connections", Variable: "parts", Unit: "us CPU", Form: Linear, Residual: 0.35}, p.Parts, queryByParts(QueryParts, p.Helpers)},
		{Series{Name: "query-sockets", Title: fmt.Sprintf("the same, of %d parts", QueryParts), Variable: "nodes", Unit: "us CPU", Form: Linear, Residual: 0.35}, p.Nodes, socketQueryByNodes(p.Helpers)},
		{Series{Name: "refusal", Title: "a query refused at the gate", Variable: "parts", Unit: "us CPU", Form: Power, Residual: 0.5}, p.Parts, refusalByParts},
		{Series{Name: "connection-memory", Title: "heap and stacks of idle connections to nodes", Variable: "connections", Unit: "MB", Form: Linear, Residual: 0.5}, p.Connections, connectionMemory(p.Helpers)},
		{Series{Name: "connection-descriptors", Title: "descriptors of the same", Variable: "connections", Unit: "descriptors", Form: Linear, Residual: 0.5}, p.Connections, connectionDescriptors(p.Helpers)},
		{Series{Name: "member-change", Title: "one changed entry from a relay: follower, owner, module", Variable: "nodes", Unit: "us CPU", Form: Linear, Residual: 0.35}, p.Nodes, memberChange(p.Helpers)},
		{Series{Name: "member-list", Title: "the whole list in slices at a start: follower, owner, module", Variable: "nodes", Unit: "ms CPU", Form: Power, Residual: 0.5}, p.Nodes, memberList(p.Helpers)},
		{Series{Name: "member-list-bytes", Title: "the same on the wire, both ways", Variable: "nodes", Unit: "MB", Form: Power, Residual: 0.1}, p.Nodes, memberListBytes(p.Helpers)},
		{Series{Name: "member-renewal", Title: "a watch at a relay without news, renewed", Variable: "nodes", Unit: "us CPU", Form: Power, Residual: 0.35}, p.Nodes, memberRenewal(p.Helpers)},
		{Series{Name: "member-renewal-bytes", Title: "the same on the wire, both ways", Variable: "nodes", Unit: "bytes", Form: Power, Residual: 0.1}, p.Nodes, memberRenewalBytes(p.Helpers)},
		{Series{Name: "relay-change", Title: "one changed entry at a relay", Variable: "readers", Unit: "us CPU", Form: Linear, Residual: 0.35}, p.Readers, relayChange(list, p.Helpers)},
		{Series{Name: "relay-idle", Title: "a second at a relay without news, heartbeats of 0.5 s", Variable: "readers", Unit: "us CPU", Form: Linear, Residual: 0.35}, p.Readers, relayIdle(list, p.Heartbeat, p.Helpers)},
		{Series{Name: "relay-list", Title: "one reader's whole list at a relay", Variable: "nodes", Unit: "us CPU", Form: Linear, Residual: 0.5}, p.Nodes, relayList(p.Helpers)},
		{Series{Name: "relay-memory", Title: "heap and stacks of a relay with its list", Variable: "readers", Unit: "MB", Form: Linear, Residual: 0.35}, p.Readers, relayMemory(list, p.Helpers)},
		{Series{Name: "fleet-start", Title: "virtual time until the last coordinator has its list, all started at once, 0.1 s a call assumed", Variable: "coordinators", Unit: "s", Form: Power, Residual: 0.8}, p.Fleet, lastListTime},
	}
}

// Measure runs a plan. It writes a line to progress after each series.
func Measure(p Plan, progress io.Writer) (*Run, error) {
	r := &Run{}
	r.describe()
	defer slog.SetLogLoggerLevel(slog.SetLogLoggerLevel(slog.LevelError)) // each member logs the relay that it follows
	began := time.Now()
	for _, probe := range p.probes() {
		s, err := probe.measure(p.Effort)
		if err != nil {
			return nil, err
		}
		r.Series = append(r.Series, s)
		fmt.Fprintf(progress, "%-24s %6.1f s\n", s.Name, time.Since(began).Seconds())
	}
	r.Bounds = bounds(r)
	r.Seconds = round(time.Since(began).Seconds())
	return r, nil
}

// maxGrowth is the largest allowed ratio of the cost of one changed entry in the largest list to the cost in the
// smallest one, which has a hundredth of the nodes in the full plan.
const maxGrowth = 2

// growthBounded are the series for which maxGrowth is stated as held: a run that exceeds it fails.
var growthBounded = []string{"change-module", "change-path", "member-change", "change-touched"}

// bounds returns a run's growth figures with their bounds.
func bounds(r *Run) (list []Bound) {
	for _, name := range growthBounded {
		s := r.Find(name)
		if s == nil {
			continue
		}
		first, largest := s.Points[0], s.Points[len(s.Points)-1]
		list = append(list, Bound{Name: fmt.Sprintf("`%s`: %s nodes over %s", name, number(largest.X), number(first.X)), Figure: round(largest.Median / first.Median),
			Most: maxGrowth, Unit: "times", Stated: true})
	}
	return list
}
