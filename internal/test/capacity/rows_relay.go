package capacity

import (
	"fmt"
	"strings"
)

// Defaults of the relays' files (internal/config/relay.go), and the layout of the control path.
const (
	snapshotBudget = 18e6 // bytes a second, for the snapshots of all readers together
	relayMB        = 128
	resources      = 2 // node list and settings; a reader has a connection and a watch for each
	authorities    = 1 // control machines that run the authority
)

// relays returns the number of relays, and relayReaders the number of coordinators that read from each.
func (s Size) relays() float64       { return s.Machines - authorities }
func (s Size) relayReaders() float64 { return s.Coordinators / s.relays() }

// renewalsEach returns how many watches one reader renews a second.
func renewalsEach() float64 { return resources / heartbeat.Seconds() }

const (
	byFollower = "`internal/distribution`"
	byRelay    = "`internal/relay`, `decide/versionlog`"
	byBudget   = "`decide/ratelimit`: a budget of bytes"
)

// fromScaleRun returns a figure of the scale run. Without a run its basis is NotRun.
func (m *model) fromScaleRun(what string, read func(*Scale) float64) figure {
	how := "`bin/lab scale`: " + what
	if m.scale == nil {
		return figure{basis: NotRun, how: how}
	}
	return figure{read(m.scale), how, Measured}
}

// fromScaleTrouble returns a figure of the scale run's first trouble whose description contains word. Without one its
// basis is NotRun.
func (m *model) fromScaleTrouble(word, what string, read func(ScaleTrouble) float64) figure {
	if m.scale != nil {
		for _, t := range m.scale.Troubles {
			if strings.Contains(t.What, word) {
				return figure{read(t), "`bin/lab scale`: " + t.What + ", " + what, Measured}
			}
		}
	}
	return figure{basis: NotRun, how: "`bin/lab scale`: " + word + ", " + what}
}

// memberRows adds the control path of a coordinator that follows relays.
func (m *model) memberRows() {
	n, window := m.size.Nodes, InForce.Seconds()
	rate := fmt.Sprintf("%d resources / %v", resources, heartbeat)
	m.add(ControlPath, "idle-bytes", ordinary, "bytes: watches renewed", "bytes/s", m.at("member-renewal-bytes", n).times(renewalsEach(), rate), ControlBytes, byFollower)
	m.add(ControlPath, "idle-cpu", ordinary, "CPU: the same", "of a core", m.at("member-renewal", n).times(renewalsEach()/coreSecond, rate), ControlCores, byFollower)
	m.add(ControlPath, "change-time", ordinary, "time until one changed entry is in force at all", "s", m.fromScaleRun("list, last", func(s *Scale) float64 { return s.List.Last }), window, byRelay)
	m.add(ControlPath, "change-median", ordinary, "time until one changed entry is in force, at the median", "s", m.fromScaleRun("list, median", func(s *Scale) float64 { return s.List.Median }), 1, byRelay)
	m.add(ControlPath, "change-p99", ordinary, "time until one changed entry is in force, at 99 in 100", "s", m.fromScaleRun("list, p99", func(s *Scale) float64 { return s.List.P99 }), 2, byRelay)
	m.add(ControlPath, "settings-time", ordinary, "time until changed settings are in force at all", "s", m.fromScaleRun("settings, last", func(s *Scale) float64 { return s.Settings.Last }), window, byRelay)
	m.add(ControlPath, "start-time", atStart, "time until the last coordinator has its list", "s", m.fromScaleRun("started, last", func(s *Scale) float64 { return s.Started.Last }), startWithin, byBudget)
	m.add(ControlPath, "start-cpu", atStart, fmt.Sprintf("CPU: the whole list within %d s", startWithin), "of a core", m.at("member-list", n).times(1e-3/startWithin, fmt.Sprintf("1e-3 / %d s", startWithin)), ControlCores, byFollower)
	m.add(ControlPath, "start-bytes", atStart, fmt.Sprintf("bytes: the whole list within %d s", startWithin), "bytes/s", m.at("member-list-bytes", n).times(1e6/startWithin, fmt.Sprintf("1e6 / %d s", startWithin)), ControlBytes, byBudget)
	m.add(ControlPath, "relay-day-cpu", ordinary, "CPU: the day's changes one by one from a relay, no queries", "of a core",
		m.at("member-change", n).times(m.size.entriesOfDay()/day/coreSecond, fmt.Sprintf("%.3g/s", m.size.entriesOfDay()/day)), ControlCores, byFollower)
	hollow := "followers of list and settings; owner and module in a few of them; no clients"
	m.add(ControlPath, "run-cpu", ordinary, "CPU in the fleet's run, mean of the host whose coordinators spent most", "of a core", m.fromScaleRun("hollow ones, calm", func(s *Scale) float64 { return s.Calm[scaleHost].CPUMost }), ControlCores, hollow)
	m.add(ControlPath, "run-memory", "all of the run", "memory in the fleet's run, likewise", "MB", m.fromScaleRun("hollow ones, troubled", func(s *Scale) float64 { return s.Troubled[scaleHost].MemoryMost }), ControlMemory, hollow)
	m.add(ControlPath, "run-bytes", ordinary, "bytes in the fleet's run, likewise", "bytes/s", m.fromScaleRun("hollow ones, calm", func(s *Scale) float64 { return 1e3 * s.Calm[scaleHost].KBPerSMost }), ControlBytes, hollow)
	m.add(ControlPath, "run-start-cpu", atStart, "CPU in the fleet's run while all start, likewise", "of a core", m.fromScaleRun("hollow ones, starting", func(s *Scale) float64 { return s.Starting[scaleHost].CPUMost }), ControlCores, hollow)
	m.add(DataPath, "run-real-cpu", ordinary, "CPU in the fleet's run of a real one with a client, the one that spent most", "of a core", m.fromScaleRun("coordinators, calm", func(s *Scale) float64 { return s.Calm[scaleCoordinator].CPUMost }), dataCores, "a whole `harepass serve`, control path and few queries")
	m.add(DataPath, "run-real-memory", "all of the run", "memory in the fleet's run, likewise", "MB", m.fromScaleRun("coordinators, troubled", func(s *Scale) float64 { return s.Troubled[scaleCoordinator].MemoryMost }), dataMemory, "the same")
	m.add(ControlPath, "zone-time", zoneLost, "time until all its entries are in force at all", "s", m.fromScaleTrouble("zone", "list, last", func(t ScaleTrouble) float64 { return t.List.Last }), window, byRelay)
	m.add(ControlPath, "relay-lost-time", "relay lost", "time until a change is in force at its readers", "s", m.fromScaleTrouble("killed", "list, last", func(t ScaleTrouble) float64 { return t.List.Last }), window, "`decide/failover`: another within 1 s")
	m.add(ControlPath, "region-time", regionCut, "time from its return until all there is in force", "s", m.fromScaleTrouble("cut off", "after its end, last", func(t ScaleTrouble) float64 { return t.Recovered.Last }), window, byRelay)
}

// relayRows adds the authority and the relays.
func (m *model) relayRows() {
	s := m.size
	readers, list := s.relayReaders(), m.at("member-list-bytes", s.Nodes)
	entry := m.at("list-bytes", s.Nodes).times(1e6/s.Nodes, fmt.Sprintf("1e6 / %s", number(s.Nodes)))
	heartbeats := fmt.Sprintf("%d resources / %v", resources, heartbeat)
	m.add(Source, "source-state", ordinary, "state: the list", "MB", m.at("list-bytes", s.Nodes), 0, byRelay)
	m.add(Source, "source-messages", ordinary, "messages: watches renewed by relays", "a second", derived(s.relays()*renewalsEach(), "%s relays x %s", number(s.relays()), heartbeats), 0, byRelay)
	m.add(Source, "source-start", atStart, "bytes: the list to all relays", "MB", list.times(s.relays(), number(s.relays())+" relays"), 0, byBudget)
	m.add(Source, "source-start-rate", atStart, fmt.Sprintf("bytes: the same within %d s", startWithin), "MB/s", list.times(s.relays()/startWithin, fmt.Sprintf("%s / %d s", number(s.relays()), startWithin)), snapshotBudget/1e6, byBudget)
	m.add(Source, "source-zone-bytes", zoneLost, "bytes: its entries to all relays", "MB", entry.times(s.zoneNodes()*s.relays()/1e6, fmt.Sprintf("%s entries x %s relays / 1e6", number(s.zoneNodes()), number(s.relays()))), 0, "`Authority`: changes of 30 ms together")
	m.add(Source, "authority-run-cpu", ordinary, "CPU in the fleet's run", "of a core", m.fromScaleRun("authority, calm", func(s *Scale) float64 { return s.Calm[scaleAuthority].CPUMost }), 1, "`relay.Authority`")
	m.add(Source, "authority-lost", "authority lost", "changes that reach anybody", "a second", derived(0, "one process; relays and members go on by what they have, new settings wait"), 0, "")

	m.add(Relays, "relay-readers", ordinary, "state: coordinators at a relay", "readers", derived(readers, "%s coordinators / (%s machines - %d authority)", number(s.Coordinators), number(s.Machines), authorities), 0, "`decide/failover`: own zone, region, any")
	m.add(Relays, "relay-descriptors", ordinary, "descriptors: a connection for each reader and resource", "descriptors", derived(resources*readers, "%d x %s readers", resources, number(readers)), Descriptors, "`relay.Server`: a bound on readers")
	m.add(Relays, "relay-descriptors-one", "all relays but one lost", "descriptors at the last relay, if it takes all", "descriptors", derived(resources*s.Coordinators, "%d x %s coordinators", resources, number(s.Coordinators)), Descriptors, "`readers: 400` in its file: those beyond are told when to come back")
	m.add(Relays, "relay-restarts", ordinary, "bytes: lists to coordinators that restart, at all relays", "bytes/s", s.restartBytes(list), 0, byBudget)
	m.add(Relays, "relay-memory", ordinary, "memory: list, readers", "MB", m.at("relay-memory", resources*readers), relayMB, byRelay)
	m.add(Relays, "relay-idle-cpu", ordinary, "CPU: heartbeats of all readers", "of a core", m.at("relay-idle", resources*readers).times(1/coreSecond, "1/s"), 1, byRelay)
	perDay := s.entriesOfDay() + s.Settings
	m.add(Relays, "relay-day-cpu-relay", ordinary, "CPU: the day's changes of list and settings, one by one", "of a core", m.at("relay-change", readers).times(perDay/day/coreSecond, fmt.Sprintf("%.3g/s", perDay/day)), 1, "an answer is encoded once for all readers")
	m.add(Relays, "relay-start-rate", atStart, fmt.Sprintf("bytes: whole lists to all readers within %d s", startWithin), "MB/s", list.times(readers/startWithin, fmt.Sprintf("%s readers / %d s", number(readers), startWithin)), snapshotBudget/1e6, byBudget)
	m.add(Relays, "relay-start-time", atStart, "time by the budget alone", "s", list.times(readers*1e6/snapshotBudget, fmt.Sprintf("%s readers / %g MB/s", number(readers), snapshotBudget/1e6)), startWithin, byBudget)
	m.add(Relays, "relay-start-cpu", atStart, fmt.Sprintf("CPU: the same within %d s", startWithin), "of a core", m.at("relay-list", s.Nodes).times(readers/coreSecond/startWithin, fmt.Sprintf("%s readers / %d s", number(readers), startWithin)), 1, "slices are encoded once for all readers at one version")
	m.add(Relays, "relay-zone-rate", zoneLost, fmt.Sprintf("bytes: its entries to all readers within %g s", InForce.Seconds()), "MB/s", entry.times(s.zoneNodes()*readers/1e6/InForce.Seconds(), fmt.Sprintf("%s entries x %s readers / 1e6 / %g s", number(s.zoneNodes()), number(readers), InForce.Seconds())), 0, byRelay)
	m.add(Relays, "relay-run-cpu", ordinary, "CPU in the fleet's run, the one that spent most", "of a core", m.fromScaleRun("relays, calm", func(s *Scale) float64 { return s.Calm[scaleRelay].CPUMost }), 1, byRelay)
	m.add(Relays, "relay-run-start-cpu", atStart, "CPU in the fleet's run, the one that spent most", "of a core", m.fromScaleRun("relays, starting", func(s *Scale) float64 { return s.Starting[scaleRelay].CPUMost }), 1, byRelay)
	m.add(Relays, "relay-run-memory", "all of the run", "memory in the fleet's run, the one that had most", "MB", m.fromScaleRun("relays, troubled", func(s *Scale) float64 { return s.Troubled[scaleRelay].MemoryMost }), relayMB, byRelay)
	m.add(Relays, "relay-run-bytes", ordinary, "bytes in the fleet's run, the one that had most", "bytes/s", m.fromScaleRun("relays, calm", func(s *Scale) float64 { return 1e3 * s.Calm[scaleRelay].KBPerSMost }), 0, byRelay)
	m.add(Relays, "relay-lost-readers", "relay lost", "messages: readers that come to each other relay, within 1 s", "a second", derived(resources*readers/(s.relays()-1), "%d x %s readers / %s other relays / 1 s; no whole lists, for versions are the authority's", resources, number(readers), number(s.relays()-1)), 0, "`decide/failover`: drawn at random among equals")
}
