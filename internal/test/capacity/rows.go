package capacity

import (
	"fmt"
	"math"
	"strings"
)

// Basis is the origin of a row's figure.
type Basis string

// The bases of figures.
const (
	Measured Basis = "measured"
	Derived  Basis = "derived"
	Assumed  Basis = "assumed"
	NotRun   Basis = "not run yet"
)

// Role is the component that bears the cost of a row.
type Role string

// The roles, in the order of the page.
const (
	ControlPath Role = "control"
	DataPath    Role = "data"
	DataNode    Role = "node"
	Source      Role = "source"
	Relays      Role = "relays"
	Operators   Role = "operators"
)

// Row is one figure at the requested size, with its bound.
type Row struct {
	Key       string // the same before and after a mechanism
	Role      Role
	Situation string
	What      string
	Figure    float64 // +Inf if nothing bounds it
	Unit      string
	Basis     Basis
	How       string  // the series, or the arithmetic
	Mechanism string  // what in the code handles this load; empty for nothing
	Most      float64 // 0 for no bound
}

// Ratio returns the figure divided by its bound, or 0 without a bound or a figure.
func (r Row) Ratio() float64 {
	if r.Most == 0 || r.Basis == NotRun {
		return 0
	}
	return r.Figure / r.Most
}

// model derives rows from a run.
type model struct {
	size  Size
	run   *Run
	scale *Scale // nil if there is none
	rows  []Row
}

// figure is a value with its origin.
type figure struct {
	value float64
	how   string
	basis Basis
}

// at returns the value of a series at a size. If the run has no such series, the basis is NotRun.
func (m *model) at(series string, x float64) figure {
	s := m.run.Find(series)
	if s == nil {
		return figure{basis: NotRun, how: "`" + series + "`"}
	}
	y, extrapolated := s.At(x)
	if extrapolated {
		return figure{y, fmt.Sprintf("`%s` by its fit at %s", series, number(x)), Derived}
	}
	return figure{y, fmt.Sprintf("`%s` at %s", series, number(x)), Measured}
}

// times returns the figure multiplied by a factor, for another unit or a number of occurrences; words describe the
// factor.
func (f figure) times(by float64, words string) figure {
	if f.basis == NotRun {
		return f
	}
	return figure{f.value * by, fmt.Sprintf("%s (%s) x %s", f.how, number(f.value), words), Derived}
}

// derived returns a figure that is arithmetic on the requested size.
func derived(value float64, format string, args ...any) figure {
	return figure{value, fmt.Sprintf(format, args...), Derived}
}

// assumed returns a figure that no measurement supports.
func assumed(value float64, format string, args ...any) figure {
	return figure{value, fmt.Sprintf(format, args...), Assumed}
}

// add appends a row.
func (m *model) add(role Role, key, situation, what, unit string, f figure, most float64, mechanism string) {
	m.rows = append(m.rows, Row{Key: key, Role: role, Situation: situation, What: what, Figure: f.value, Unit: unit, Basis: f.basis, How: f.how,
		Mechanism: mechanism, Most: most})
}

// The situations of rows.
const (
	ordinary  = "ordinary day"
	atStart   = "start of everything"
	rackLost  = "rack or switch lost"
	zoneLost  = "zone lost"
	regionCut = "region cut off, and back"
)

// Rows returns the page's rows for a size, from a run. With distributed, lists and settings come from relays.
func Rows(size Size, run *Run, scale *Scale, distributed bool) []Row {
	m := &model{size: size, run: run, scale: scale}
	m.controlState()
	if distributed {
		m.memberRows()
		m.relayRows()
	} else {
		m.discoveryRows()
	}
	m.changeRows(distributed)
	m.dataRows(distributed)
	m.nodeRows()
	m.operatorRows(distributed)
	return m.rows
}

const coreSecond = 1e6 // microseconds of CPU time

// controlState adds the state of the control path and the work that it does by itself.
func (m *model) controlState() {
	n := m.size.Nodes
	m.add(ControlPath, "memory", ordinary, "state: the list, live heap", "MB", m.at("list-memory", n), ControlMemory, "`internal/core`, module: a map each")
	m.add(ControlPath, "idle-module", ordinary, "CPU: the module's look each second, no queries", "of a core", m.at("idle-second", n).times(1/coreSecond, "1/s"), ControlCores, "`watchReplicas`, `settle`: all nodes")
	rate := m.size.entriesOfDay() / day
	how := fmt.Sprintf("%.3g/s: (%d x %s restarts + %d x %s failures) / 86,400 s", rate, entriesOfRestart, number(m.size.Restarts), entriesOfFailure, number(m.size.Failures))
	m.add(ControlPath, "day-cpu", ordinary, "CPU: the day's changes one by one, no queries", "of a core", m.at("change-path", n).times(rate/coreSecond, how), ControlCores, "`onList`, `settle`")
	m.add(ControlPath, "day-cpu-touched", ordinary, "CPU: the same, every section asked (module alone)", "of a core", m.at("change-touched", n).times(rate/coreSecond, how), ControlCores, "`onList`, shares of sections")
}

// changeRows adds the changes of the list in failures. The coordinator's own work does not depend on who delivers them.
func (m *model) changeRows(distributed bool) {
	n, zone, region, window := m.size.Nodes, m.size.zoneNodes(), m.size.regionNodes(), InForce.Seconds()
	over := fmt.Sprintf("1 / %g s", window)
	single := "none: each answer is a step of its own"
	if distributed {
		single = "relays gather changes for 30 ms; `onList`"
	}
	m.add(ControlPath, "rack-cpu", rackLost, fmt.Sprintf("CPU: %d entries one by one, within %g s", rackNodes, window), "of a core",
		m.at("zone-singly", rackNodes).times(1/coreSecond/window, over), ControlCores, single)
	m.add(ControlPath, "zone-cpu-singly", zoneLost, fmt.Sprintf("CPU: %s entries one by one, within %g s", number(zone), window), "of a core",
		m.at("zone-singly", zone).times(1/coreSecond/window, over), ControlCores, single)
	m.add(ControlPath, "zone-cpu-touched", zoneLost, "CPU: the same one by one, every section asked (module alone)", "of a core",
		m.at("change-touched", n).times(zone/coreSecond/window, fmt.Sprintf("%s / %g s", number(zone), window)), ControlCores, single)
	m.add(ControlPath, "zone-cpu", zoneLost, fmt.Sprintf("CPU: %s entries in one answer, within %g s", number(zone), window), "of a core",
		m.at("zone-together", zone).times(1/coreSecond/window, over), ControlCores, "one `ListReceived` for an answer")
	entry := m.at("list-bytes", n).times(1e6/n, fmt.Sprintf("1e6 / %s bytes an entry", number(n)))
	m.add(ControlPath, "zone-bytes", zoneLost, fmt.Sprintf("bytes: %s entries within %g s", number(zone), window), "bytes/s",
		entry.times(zone/window, fmt.Sprintf("%s / %g s", number(zone), window)), ControlBytes, "watch: only changed entries")
	m.add(ControlPath, "region-cpu", regionCut, fmt.Sprintf("CPU: its %s nodes at once, within %g s", number(region), window), "of a core",
		m.at("zone-together", region).times(1/coreSecond/window, over), ControlCores, "one `ListReceived` for an answer")
	m.add(ControlPath, "region-bytes", regionCut, fmt.Sprintf("bytes: its %s entries, within %g s", number(region), window), "bytes/s",
		entry.times(region/window, fmt.Sprintf("%s / %g s", number(region), window)), ControlBytes, "watch: only changed entries")
	hour := m.size.entriesOfDay() / 24
	m.add(ControlPath, "return-bytes", regionCut, fmt.Sprintf("bytes: one hour's changes on its return, within %g s", window), "bytes/s",
		entry.times(hour/window, fmt.Sprintf("%s entries / %g s", number(hour), window)), ControlBytes, returnMechanism(distributed))
}

func returnMechanism(distributed bool) string {
	if distributed {
		return "`versionlog`: each name once, at its last change"
	}
	return "watch from the known index; the whole list if discovery gives that"
}

// discoveryRows adds the control path and its source as they are without relays.
func (m *model) discoveryRows() {
	s := m.size
	list := m.at("list-bytes", s.Nodes).times(1e6, "1e6")
	m.add(ControlPath, "idle-bytes", ordinary, "bytes: a watch renewed each second", "bytes/s", m.at("renewal-bytes", s.Nodes).times(1, "1/s"), ControlBytes, "`platform.Discovery`")
	m.add(ControlPath, "idle-cpu", ordinary, "CPU: the same", "of a core", m.at("renewal", s.Nodes).times(1/coreSecond, "1/s"), ControlCores, "`platform.Discovery`")
	m.add(ControlPath, "change-time", ordinary, "time until one changed entry is in force at all", "s", turns(s), InForce.Seconds(), "")
	m.add(ControlPath, "settings-time", ordinary, "time until changed settings are in force at all", "s", figure{math.Inf(1), "a file and a SIGHUP on each machine; nothing starts or ends it", Assumed}, InForce.Seconds(), "")
	m.add(ControlPath, "start-time", atStart, "time until the last coordinator has its list", "s", m.fleetStart(), startWithin, "`decide/backoff`: spreads calls, does not make them fewer")
	m.add(ControlPath, "start-cpu", atStart, fmt.Sprintf("CPU: the whole list within %d s", startWithin), "of a core", m.at("list-path", s.Nodes).times(1e-3/startWithin, fmt.Sprintf("1e-3 / %d s", startWithin)), ControlCores, "`platform.Discovery`, `relate`: all pairs of nodes")
	m.add(ControlPath, "start-bytes", atStart, fmt.Sprintf("bytes: the whole list within %d s", startWithin), "bytes/s", list.times(1.0/startWithin, fmt.Sprintf("1 / %d s", startWithin)), ControlBytes, "")
	m.add(Source, "source-state", ordinary, "state: the list", "MB", m.at("list-bytes", s.Nodes), 0, "discovery's own")
	m.add(Source, "source-restarts", ordinary, "bytes: lists to coordinators that restart", "bytes/s", s.restartBytes(m.at("list-bytes", s.Nodes)), 0, "a remembered list and version where the process is handed one")
	m.add(Source, "source-messages", ordinary, "messages: renewals of all watches", "a second", derived(s.Coordinators, "%s coordinators x 1/s", number(s.Coordinators)), 0, "`decide/backoff`: a renewal costs no turn")
	m.add(Source, "source-change", ordinary, "time to answer all watches with one change", "s", turns(s), InForce.Seconds(), "")
	m.add(Source, "source-start", atStart, "bytes: the list to all", "MB", m.at("list-bytes", s.Nodes).times(s.Coordinators, number(s.Coordinators)), 0, "")
	m.add(Source, "source-start-rate", atStart, fmt.Sprintf("bytes: the same within %d s", startWithin), "MB/s", m.at("list-bytes", s.Nodes).times(s.Coordinators/startWithin, fmt.Sprintf("%s / %d s", number(s.Coordinators), startWithin)), 0, "")
	m.add(Source, "source-zone", zoneLost, "time to answer all watches with each of its entries singly", "s", derived(s.zoneNodes()*s.Coordinators*serviceCallTime.Seconds(), "%s entries x %s coordinators x %g s", number(s.zoneNodes()), number(s.Coordinators), serviceCallTime.Seconds()), InForce.Seconds(), "")
}

// fleetStart returns the simulated start time of the fleet. Its basis is Assumed because the cost of a call is.
func (m *model) fleetStart() figure {
	f := m.at("fleet-start", m.size.Coordinators)
	if f.basis != NotRun {
		f.how, f.basis = f.how+fmt.Sprintf(", %g s a call", serviceCallTime.Seconds()), Assumed
	}
	return f
}

// turns returns the time in which the discovery service answers each coordinator once, one call after the other.
func turns(s Size) figure {
	return assumed(s.Coordinators*serviceCallTime.Seconds(), "%s coordinators x %g s a call (assumed in `decide/backoff`; a run against the real service would prove it)", number(s.Coordinators), serviceCallTime.Seconds())
}

// dataRows adds the data path of a coordinator.
func (m *model) dataRows(distributed bool) {
	shares := "`refillShard`, `hold`: all nodes for each section"
	if distributed {
		shares = "shares of a section when a part wants them"
	}
	s := m.size
	each := fmt.Sprintf("%s/s", number(s.queriesEach()))
	m.add(DataPath, "data-module", ordinary, fmt.Sprintf("CPU: the module alone, queries over %d sections", QueryParts), "of a core", m.at("query-module", s.Nodes).times(s.queriesEach()/coreSecond, each), dataCores, "one goroutine")
	m.add(DataPath, "data-module-all", ordinary, "CPU: the module alone, queries over all sections, renewal of shares included", "of a core", m.at("query-touched", s.Nodes).times(s.queriesEach()/coreSecond, each), dataCores, "one goroutine")
	m.add(DataPath, "data-sockets", ordinary, fmt.Sprintf("CPU: front, owner, module, nodes' connections, queries over %d sections", QueryParts), "of a core", m.at("query-sockets", s.Nodes).times(s.queriesEach()/coreSecond, each), dataCores, "")
	m.add(DataPath, "data-shares", ordinary, "CPU: the module's look each second, every section asked, in one step; against the whole aim", "ms", m.at("renew-shares", s.Nodes).times(1e-3, "1e-3"), AnswerAim.Seconds()*1e3, shares)
	open := s.queriesEach() * AnswerAim.Seconds()
	m.add(DataPath, "data-open", ordinary, "state: open queries, each open for the whole aim", "queries", derived(open, "%s x %v", each, AnswerAim), 0, "`core.Limits.Open`")
	m.add(DataPath, "data-bytes", ordinary, "bytes: parts and their answers", "MB/s", assumed(s.queriesEach()*s.Parts*partBytes/1e6, "%s x %s parts x %d bytes (assumed; a run with real values would prove it)", each, number(s.Parts), partBytes), 0, "`platform.Nodes`: one frame for a call")
	m.add(DataPath, "data-connections", ordinary, "descriptors: connections to nodes", "descriptors", m.at("connection-descriptors", s.kept()), Descriptors, "")
	m.add(DataPath, "data-connections-memory", ordinary, "memory: the same", "MB", m.at("connection-memory", s.kept()), dataMemory, "`platform.Nodes`: two goroutines each")
	m.add(DataPath, "data-reconnect", atStart, fmt.Sprintf("messages: connections opened within %d s", startWithin), "a second", derived(s.kept()/startWithin, "%s / %d s", number(s.kept()), startWithin), 0, "opened by the first call to each node")
	m.add(DataPath, "data-refusal", ordinary, "CPU: all queries refused at the gate", "of a core", m.at("refusal", s.Parts).times(s.queriesEach()/coreSecond, each), dataCores, "`guard`: by the query's head")
}

// nodeRows adds the cost that harepass causes at data nodes.
func (m *model) nodeRows() {
	s := m.size
	m.add(DataNode, "node-parts", ordinary, "messages: parts", "a second", derived(s.partsEach(), "%s queries/s x %s parts / %s nodes", number(s.Queries), number(s.Parts), number(s.Nodes)), 0, "`draw`: shares, 1.2 equal ones at most")
	m.add(DataNode, "node-bytes", ordinary, "bytes: parts and their answers", "MB/s", assumed(s.partsEach()*partBytes/1e6, "%s parts/s x %d bytes (assumed; a run with real values would prove it)", number(s.partsEach()), partBytes), 0, "`platform.Nodes`")
	m.add(DataNode, "node-cpu", ordinary, "CPU and memory of a node for its parts and connections", "", figure{basis: NotRun, how: "a node's own work: only the operators' nodes can tell, stand-ins do not"}, 0, "")
	m.add(DataNode, "node-connections", ordinary, "descriptors: connections of coordinators", "descriptors", derived(s.kept()/s.Nodes*s.Coordinators, "%s kept / %s nodes x %s coordinators", number(s.kept()), number(s.Nodes), number(s.Coordinators)), Descriptors, "`decide/subsetting`: two of three holders")
	m.add(DataNode, "node-copies", ordinary, "messages: second copies, at most", "a second", derived(hedgeShare*s.partsEach(), "%g of %s parts/s (`hedgeShare`)", hedgeShare, number(s.partsEach())), 0, "`hedge`")
	zone := s.Nodes / s.Zones
	m.add(DataNode, "node-zone", zoneLost, "messages: parts at the nodes left, mean", "a second", derived(s.Queries*s.Parts/(s.Nodes-zone), "%s x %s / (%s - %s nodes)", number(s.Queries), number(s.Parts), number(s.Nodes), number(zone)), 0, "shares of a section's other holders")
	m.add(DataNode, "node-return", regionCut, "messages: connections opened at a node that is back, if all come within 1 s", "a second", derived(s.kept()/s.Nodes*s.Coordinators, "%s kept / %s nodes x %s coordinators / 1 s", number(s.kept()), number(s.Nodes), number(s.Coordinators)), 0, "")
}

// operatorRows adds the work with the operators' tools.
func (m *model) operatorRows(distributed bool) {
	s := m.size
	files, how, mechanism := s.Settings*s.Coordinators/day, fmt.Sprintf("%s changes x %s coordinators / 86,400 s", number(s.Settings), number(s.Coordinators)), ""
	if distributed {
		files, how, mechanism = s.Settings/day, fmt.Sprintf("%s changes / 86,400 s, each one file and one SIGHUP at the authority", number(s.Settings)), "`harepass relay` as authority; `harepass check`"
	}
	m.add(Operators, "operators-settings", ordinary, "messages: files written and signals sent", "a second", derived(files, "%s", how), 0, mechanism)
	m.add(Operators, "operators-node", ordinary, "messages: to take one node out by hand everywhere", "calls", derived(s.Coordinators, "%s coordinators, each at its own door", number(s.Coordinators)), 0, "")
}

// Over returns the rows that exceed their bound, the largest ratio first.
func Over(rows []Row) (over []Row) {
	for _, r := range rows {
		if r.Ratio() > 1 {
			over = append(over, r)
		}
	}
	sortByRatio(over)
	return over
}

// minShown is the smallest figure that a page shows as a number.
const minShown = 0.001

// number formats a figure with three digits; from 1000 on, as an integer with thousands separators.
func number(x float64) string {
	switch {
	case math.IsInf(x, 1):
		return "unbounded"
	case math.Abs(x) >= 1000:
		return thousands(math.Round(x))
	case x == math.Trunc(x):
		return fmt.Sprintf("%.0f", x)
	case math.Abs(x) >= 100:
		return fmt.Sprintf("%.0f", x)
	case math.Abs(x) < minShown:
		return fmt.Sprintf("under %g", minShown)
	}
	return fmt.Sprintf("%.3g", x)
}

func thousands(x float64) string {
	text := fmt.Sprintf("%.0f", x)
	var groups []string
	for len(text) > 3 {
		groups = append([]string{text[len(text)-3:]}, groups...)
		text = text[:len(text)-3]
	}
	return strings.Join(append([]string{text}, groups...), ",")
}
