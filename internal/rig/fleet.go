package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"harepass/internal/standin"
)

const (
	reach      = 3 // how many cells in a row hold a section, where nodes form no sets
	setSection = 6 // sections that a set of nodes holds
)

// FleetConfig says what a Fleet is made of.
type FleetConfig struct {
	Dir      string   // for configurations, a $TMPDIR of each process, and the timeline
	Command  []string // the program with its arguments
	Env      []string
	Settings []byte // of the site; their size of the fleet, cells and discovery are the scenario's
}

// Fleet is real processes of the program, each a coordinator of its own, among nodes and a discovery that all share. Every
// way from one to another is a Link.
type Fleet struct {
	FleetConfig
	*Scenario
	*Timeline

	site     *site
	registry standin.Registry
	nodes    []*fleetNode
	members  []*Member
	size     int // as those that start now are told
	records  records
	closers  []func() error

	mu     sync.Mutex
	took   []time.Duration // from a start to a yes
	memory []int           // KB, the most that a process had
}

// Member is a coordinator: its place, and its process where one runs.
type Member struct {
	*Process
	name   string
	no     int
	listen string
	disc   *Link
	links  []*Link // to each node
	crowd  *Crowd
	begun  time.Time
	told   int // the size that it was told last
	paused bool
}

// fleetNode is a node that all coordinators reach, each by a link.
type fleetNode struct {
	name  string
	no    int
	entry standin.Entry

	mu      sync.Mutex
	machine standin.Machine
	state   string
}

// began is the origin of all times of the records; a node's machine goes by them too.
func (f *Fleet) at() time.Duration { return time.Since(f.began) + time.Second }

// NewFleet opens nodes, discovery and links for as many coordinators as the scenario ever has, and starts those that it
// begins with.
func NewFleet(c FleetConfig, s *Scenario) (*Fleet, error) {
	f := &Fleet{FleetConfig: c, Scenario: s, Timeline: newTimeline(), size: s.Coordinators}
	var err error
	if f.Settings, err = s.settings(c.Settings); err != nil {
		return nil, err
	}
	if f.site, err = readSite(f.Settings); err != nil {
		return nil, err
	}
	f.records.open(f)
	most := s.Coordinators
	for _, st := range s.Steps {
		most = max(most, st.Grow)
	}
	for i := range s.Nodes {
		n := &fleetNode{name: fmt.Sprint("n", i), no: i, state: "sound"}
		n.entry = standin.Entry{Name: n.name, Zone: fmt.Sprint("z", i%reach), Type: "m", Group: s.cell(i), Status: "in_service", Weight: 1}
		cold := f.site.cold
		n.machine = standin.Machine{Work: s.Work, Cores: 2, Queue: 40, Start: cold.start, Warm: cold.warm, Fall: cold.multiple, Window: cold.window}
		f.nodes = append(f.nodes, n)
		f.registry.Put(n.entry)
	}
	for i := range most {
		m, err := f.place(i)
		if err != nil {
			return nil, errors.Join(err, f.Close())
		}
		f.members = append(f.members, m)
	}
	for _, m := range f.members[:s.Coordinators] {
		if err := f.begin(m); err != nil {
			return nil, errors.Join(err, f.Close())
		}
	}
	return f, nil
}

// place opens what surrounds one coordinator.
func (f *Fleet) place(i int) (*Member, error) {
	m := &Member{name: fmt.Sprint("c", i), no: i}
	var err error
	if m.listen, err = reserve(); err != nil {
		return nil, err
	}
	behind := func(link func(string) (*Link, error), serve func(net.Listener)) (*Link, error) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		f.closers = append(f.closers, l.Close)
		go serve(l)
		k, err := link(l.Addr().String())
		if err == nil {
			f.closers = append(f.closers, func() error { k.Close(); return nil })
		}
		return k, err
	}
	for _, n := range f.nodes {
		fleet := &standin.Fleet{Script: func(int, int) standin.Reply { return f.reply(n) }, Heard: func(part standin.Part, did standin.Kind) { f.records.part(m, n, part, did) }}
		k, err := behind(NewFramedLink, fleet.Frames)
		if err != nil {
			return nil, err
		}
		m.links = append(m.links, k)
	}
	m.disc, err = behind(NewLink, func(l net.Listener) {
		f.registry.Serve(l, m.address, func(list standin.Listing) { f.records.listed(m, list) })
	})
	return m, err
}

func (m *Member) address(node string) string {
	var i int
	fmt.Sscanf(node, "n%d", &i)
	return m.links[i].Address()
}

// reply is what a node does with a part that has just come.
func (f *Fleet) reply(n *fleetNode) standin.Reply {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch n.state {
	case "hung":
		return standin.Reply{Kind: standin.Silent}
	case "failing":
		return standin.Reply{Kind: standin.Fail}
	case "gone":
		return standin.Reply{Kind: standin.Break}
	}
	now := f.at()
	end, taken := n.machine.Take(now)
	if !taken || n.state == "drained" {
		return standin.Reply{Kind: standin.Reject}
	}
	return standin.Reply{After: end - now}
}

// become changes a node, and tells discovery of what it would know.
func (f *Fleet) become(n *fleetNode, state string) {
	n.mu.Lock()
	n.state = state
	status := map[string]string{"drained": "terminating", "gone": "terminated", "back": "in_service"}[state]
	if state == "back" {
		n.state = "sound"
		n.machine.Restart(f.at())
		n.entry.SinceMS = time.Now().UnixMilli()
	}
	if status != "" {
		n.entry.Status = status
	}
	e := n.entry
	n.mu.Unlock()
	if status != "" {
		f.registry.Put(e)
	}
}

// configure writes a member's configuration; what it knows is the list as it is now.
func (f *Fleet) configure(m *Member) error {
	var settings map[string]any
	if err := json.Unmarshal(f.Settings, &settings); err != nil {
		return err
	}
	settings["balancers"], settings["me"] = m.told, m.no
	if customers, ok := settings["customers"].([]any); ok { // the crowd is within its share
		for _, c := range customers {
			c.(map[string]any)["quota_per_s"] = 100000
		}
	}
	known, _ := f.registry.List(-1, m.address)
	data, err := json.MarshalIndent(map[string]any{"name": m.name, "listen": m.listen, "discovery": m.disc.Address(), "seed": fmt.Sprintf("%016x", uint64(0x8c1f30d27a5be964)+uint64(m.no)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(f.path(m), data, 0o600)
}

func (f *Fleet) path(m *Member) string { return filepath.Join(f.Dir, m.name+".json") }

// begin starts a member's process, and its clients with its first one.
func (f *Fleet) begin(m *Member) error {
	m.told = f.size
	if err := f.configure(m); err != nil {
		return err
	}
	tmp := filepath.Join(f.Dir, m.name)
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return err
	}
	p, err := start(f.Command, append(f.Env, "PROXY_CONFIG="+f.path(m), "TMPDIR="+tmp), nil, func(line string) { f.Note(m.name, "%s", line) })
	if err != nil {
		return err
	}
	m.Process, m.paused, m.begun = p, false, time.Now()
	f.records.begun(m)
	f.Note("rig", "%s started as process %d, one of %d", m.name, p.Process.Pid, m.told)
	return nil
}

// ready waits until a member says that it serves, and lets its clients ask.
func (f *Fleet) ready(m *Member) error {
	if err := Wait(m.name+" serves", m.Serves); err != nil {
		return fmt.Errorf("%w\n%s", err, m.Log())
	}
	f.mu.Lock()
	f.took = append(f.took, time.Since(m.begun))
	f.mu.Unlock()
	if m.crowd == nil {
		m.crowd = newCrowd(f.Clients, m.listen, f.site.tenant, f.records.sent, func(who, i int) question { return f.site.ask(who, i, f.sections()) })
	}
	return nil
}

// running lists members with a process that is not to be over.
func (f *Fleet) running() (some []*Member) {
	for _, m := range f.members {
		if m.Process != nil {
			some = append(some, m)
		}
	}
	return some
}

// weigh notes the most memory that a process has had, where the system tells.
func (f *Fleet) weigh(m *Member) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.Process.Process.Pid))
	if err != nil {
		return
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	kb := 0
	fmt.Sscan(rest, &kb)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.memory = append(f.memory, kb)
}

// Started is how long each process took to serve, and the most memory that each has had, in KB.
func (f *Fleet) Started() (took []time.Duration, memory []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.took), slices.Clone(f.memory)
}

// Close kills what still runs, closes the rest and writes the timeline.
func (f *Fleet) Close() (err error) {
	for _, m := range f.running() {
		f.kill(m)
	}
	for _, c := range f.closers {
		err = errors.Join(err, ignoreClosed(c()))
	}
	out, e := os.Create(filepath.Join(f.Dir, "timeline.txt"))
	if e == nil {
		e = errors.Join(f.Print(out), out.Close())
	}
	return errors.Join(err, e)
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Summary says what became of the requests, by how they ended.
func (f *Fleet) Summary(out io.Writer) {
	total := map[string]int{}
	for _, m := range f.members {
		if m.crowd != nil {
			for k, n := range m.crowd.Tally() {
				total[k] += n
			}
		}
	}
	parts, lists := f.records.counts()
	fmt.Fprintf(out, "%s: requests %v, parts %d, lists told %d\n", f.Name, total, parts, lists)
}
