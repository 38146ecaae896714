package scaletest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"harepass/internal/test/faultinjection"
)

// Config says what a run is made of.
type Config struct {
	Dir      string   // for configurations and logs; it has to exist
	Program  []string // the program with what comes before its sub-command
	Lab      []string // the laboratory, likewise
	Env      []string // of both, beside the run's own
	Settings []byte   // of the site
	Log      io.Writer
}

// member is a coordinator, hollow or real.
type member struct {
	name   string
	no     int
	zone   int
	region int
	real   bool
	listen string // of a real one
	host   int    // of a hollow one
}

// server is a control process.
type server struct {
	no      int // of a relay; the authority has none
	region  int
	zone    int
	address string

	upstream string
	process  *process
}

func (s *server) name() string { return fmt.Sprintf("relay%d", s.no) }

// fleet is everything that runs.
type fleet struct {
	Config
	plan      *Plan
	publisher *publisher
	nodes     *nodes
	network   *network
	records   *records
	timeline  *timeline
	list      net.Listener // discovery's
	discovery string

	authority *server
	relays    []*server
	members   []*member
	reals     map[string]*process
	hosts     []*process
	sources   [][]SourceSpec // by region
	crowds    []*faultinjection.ClientPool
	spoiler   *spoiler

	clientsOver  sync.Once
	settingsFile sync.Mutex // held while it is written

	mu      sync.Mutex
	number  int64                  // of the settings' latest version
	started map[string][]time.Time // when a member's processes were started
	cuts    map[int]bool           // regions that are cut off
	bytes   map[string][2]int64    // that a host's members have read and written
}

// newFleet opens what is not a process of its own, and places members and servers.
func newFleet(c Config, plan *Plan) (*fleet, error) {
	f := &fleet{Config: c, plan: plan, network: &network{plan: plan}, records: newRecords(), timeline: newTimeline(c.Log),
		reals: map[string]*process{}, started: map[string][]time.Time{}, cuts: map[int]bool{}, bytes: map[string][2]int64{}}
	var addresses []string
	var err error
	if f.nodes, addresses, err = openNodes(plan.Nodes); err != nil {
		return nil, err
	}
	f.publisher = newPublisher(makeEntries(plan, addresses))
	if f.list, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		f.nodes.close()
		return nil, err
	}
	f.discovery = f.list.Addr().String()
	go f.publisher.registry.Serve(f.list)
	for i := range plan.Coordinators {
		m := &member{name: fmt.Sprintf("c%d", i), no: i, zone: i % plan.Zones, real: i < plan.Real}
		m.region = m.zone % plan.Regions
		if !m.real {
			m.host = (i - plan.Real) * plan.Hosts / (plan.Coordinators - plan.Real)
		}
		f.members = append(f.members, m)
	}
	f.hosts, f.sources = make([]*process, plan.Hosts), make([][]SourceSpec, plan.Regions)
	return f, nil
}

// startControl starts the authority, then the relays, and waits until each has something to hand out.
func (f *fleet) startControl(ctx context.Context) error {
	if err := f.writeSettings(false); err != nil {
		return err
	}
	address, err := faultinjection.Reserve()
	if err != nil {
		return err
	}
	f.authority = &server{no: -1, address: address}
	if err := f.startServer(f.authority, ""); err != nil {
		return err
	}
	if err := f.awaitServer(ctx, f.authority); err != nil {
		return err
	}
	for i := range f.plan.Relays {
		r := &server{no: i, zone: i % f.plan.Zones, region: i % f.plan.Zones % f.plan.Regions}
		if r.address, err = faultinjection.Reserve(); err != nil {
			return err
		}
		f.relays = append(f.relays, r)
		if err := f.startRelay(r); err != nil {
			return err
		}
	}
	for _, r := range f.relays {
		if err := f.awaitServer(ctx, r); err != nil {
			return err
		}
	}
	return f.placeSources()
}

// startRelay starts a relay, by a way of its own to the authority.
func (f *fleet) startRelay(r *server) error {
	upstream, err := f.network.to(r.region, f.authority.region, f.authority.address)
	if err != nil {
		return err
	}
	return f.startServer(r, upstream)
}

// placeSources says how each region's members reach the relays.
func (f *fleet) placeSources() error {
	if f.plan.spoils() {
		var err error
		if f.spoiler, err = newSpoiler(f.relays[0].address); err != nil {
			return err
		}
	}
	for region := range f.plan.Regions {
		for _, r := range f.relays {
			behind := r.address
			if r.no == 0 && f.spoiler != nil {
				behind = f.spoiler.address()
			}
			address, err := f.network.to(region, r.region, behind)
			if err != nil {
				return err
			}
			f.sources[region] = append(f.sources[region], SourceSpec{address, zoneName(r.zone), regionName(r.region)})
		}
	}
	return nil
}

func regionName(region int) string { return fmt.Sprintf("r%d", region) }

// startMembers starts all members at once.
func (f *fleet) startMembers() error {
	for i := range f.hosts {
		if err := f.startHost(i); err != nil {
			return err
		}
	}
	for _, m := range f.members {
		if m.real {
			if err := f.startReal(m); err != nil {
				return err
			}
		}
	}
	f.timeline.note("%d members are started", len(f.members))
	return nil
}

// startHost starts a process of hollow members.
func (f *fleet) startHost(i int) error {
	spec := HostSpec{}
	var err error
	if spec.Settings, err = numbered(f.Settings, f.plan, 0); err != nil {
		return err
	}
	for _, m := range f.members {
		if !m.real && m.host == i {
			f.begun(m.name)
			spec.Members = append(spec.Members, f.memberSpec(m))
		}
	}
	return f.runHost(i, spec)
}

// runHost starts a host and tells it who its members are.
func (f *fleet) runHost(i int, spec HostSpec) error {
	name := fmt.Sprintf("host%d", i)
	p, err := startProcess(command{name: name, role: roleHost, args: append(f.Lab[:len(f.Lab):len(f.Lab)], HollowCommand),
		env: append(f.Env[:len(f.Env):len(f.Env)], hostProcessors), dir: f.Dir, feed: true,
		out: func(out io.Reader) { f.records.read(out, func(read, written int64) { f.passed(name, read, written) }) }})
	if err != nil {
		return err
	}
	f.hosts[i] = p
	return json.NewEncoder(p.in).Encode(spec)
}

// hostProcessors bounds how many processors a host uses at once: several share the machine with all that it plays.
const hostProcessors = "GOMAXPROCS=2"

func (f *fleet) memberSpec(m *member) MemberSpec {
	hollow := m.no - f.plan.Real
	modules := f.plan.Modules
	return MemberSpec{Name: m.name, No: m.no, Fleet: f.plan.Coordinators, Zone: zoneName(m.zone), Region: regionName(m.region),
		Module:  (hollow+1)*modules/(f.plan.Coordinators-f.plan.Real) > hollow*modules/(f.plan.Coordinators-f.plan.Real),
		Sources: f.sources[m.region], Hold: f.plan.Heartbeat}
}

func (f *fleet) begun(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started[name] = append(f.started[name], time.Now())
}

func (f *fleet) passed(host string, read, written int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bytes[host] = [2]int64{read, written}
}

// awaitMembers waits until each member has the whole list and settings, and each real one takes clients.
func (f *fleet) awaitMembers(ctx context.Context) error {
	began := time.Now()
	for {
		missing := ""
		for _, m := range f.members {
			if !f.has(m, List) || !f.has(m, Settings) {
				missing = m.name
				break
			}
		}
		if missing == "" {
			break
		}
		if time.Since(began) > startWithin {
			return fmt.Errorf("scale: %s has no whole list and settings after %v", missing, startWithin)
		}
		if err := f.pause(ctx, look); err != nil {
			return err
		}
	}
	f.timeline.note("all members have list and settings")
	return nil
}

// has tells whether a member has had a resource whole since it was started last.
func (f *fleet) has(m *member, r Resource) bool {
	last, ok := f.records.latest(m.name, r)
	f.mu.Lock()
	defer f.mu.Unlock()
	starts := f.started[m.name]
	return ok && last.Whole && last.At.After(starts[len(starts)-1])
}

const (
	look        = 20 * time.Millisecond
	startWithin = 3 * time.Minute
)

// pause waits, or returns what has ended the run, such as a process that ended by itself.
func (f *fleet) pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return ctx.Err()
	}
	for _, p := range f.processes() {
		if !p.runs() && !p.ended.Load() {
			return fmt.Errorf("scale: %s has ended by itself: %v; see its log in %s", p.name, p.err, f.Dir)
		}
	}
	return nil
}

// processes lists all that have been started and are not meant to be over.
func (f *fleet) processes() (all []*process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range append([]*server{f.authority}, f.relays...) {
		if s != nil && s.process != nil {
			all = append(all, s.process)
		}
	}
	for _, p := range f.hosts {
		if p != nil {
			all = append(all, p)
		}
	}
	for _, p := range f.reals {
		all = append(all, p)
	}
	return all
}

// close ends everything that was started.
func (f *fleet) close() error {
	f.endClients()
	all := f.processes()
	errs := make([]error, len(all))
	var ending sync.WaitGroup
	for i, p := range all {
		ending.Go(func() { errs[i] = p.stop() })
	}
	ending.Wait()
	f.network.close()
	f.nodes.close()
	if f.spoiler != nil {
		f.spoiler.close()
	}
	return errors.Join(append(errs, f.list.Close())...)
}

// write puts a configuration into the run's folder, whole at once.
func (f *fleet) write(name string, data []byte) (path string, err error) {
	path = filepath.Join(f.Dir, name)
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}
