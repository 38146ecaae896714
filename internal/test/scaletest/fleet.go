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
	name    string
	ordinal int
	zone    int
	region  int
	real    bool
	address string // of a real one
	host    int    // of a hollow one
}

// server is a control process.
type controlProcess struct {
	ordinal int // of a relay; the authority has none
	region  int
	zone    int
	address string

	upstream string
	process  *process
}

func (s *controlProcess) name() string { return fmt.Sprintf("relay%d", s.ordinal) }

// fleet is everything that runs.
type fleet struct {
	Config
	plan              *Plan
	publisher         *publisher
	replicas          *replicas
	network           *network
	records           *records
	timeline          *timeline
	discoveryListener net.Listener // discovery's
	discoveryAddress  string

	authority       *controlProcess
	relays          []*controlProcess
	members         []*member
	realProcesses   map[string]*process
	hostProcesses   []*process
	sources         [][]SourceSpec // by region
	clientPools     []*faultinjection.ClientPool
	corruptingProxy *corruptingProxy

	stopClientsOnce   sync.Once
	settingsFileMutex sync.Mutex // held while it is written

	mu              sync.Mutex
	settingsNumber  int64                  // of the settings' latest version
	started         map[string][]time.Time // when a member's processes were started
	isolatedRegions map[int]bool           // regions that are cut off
	hostTraffic     map[string][2]int64    // that a host's members have read and written
}

// newFleet opens what is not a process of its own, and places members and servers.
func newFleet(c Config, plan *Plan) (*fleet, error) {
	f := &fleet{Config: c, plan: plan, network: &network{plan: plan}, records: newRecords(), timeline: newTimeline(c.Log),
		realProcesses: map[string]*process{}, started: map[string][]time.Time{}, isolatedRegions: map[int]bool{}, hostTraffic: map[string][2]int64{}}
	var addresses []string
	var err error
	if f.replicas, addresses, err = openReplicas(plan.Replicas); err != nil {
		return nil, err
	}
	f.publisher = newPublisher(makeEndpoints(plan, addresses))
	if f.discoveryListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		f.replicas.close()
		return nil, err
	}
	f.discoveryAddress = f.discoveryListener.Addr().String()
	go f.publisher.registry.Serve(f.discoveryListener)
	for i := range plan.Coordinators {
		m := &member{name: fmt.Sprintf("c%d", i), ordinal: i, zone: i % plan.Zones, real: i < plan.RealCoordinators}
		m.region = m.zone % plan.Regions
		if !m.real {
			m.host = (i - plan.RealCoordinators) * plan.Hosts / (plan.Coordinators - plan.RealCoordinators)
		}
		f.members = append(f.members, m)
	}
	f.hostProcesses, f.sources = make([]*process, plan.Hosts), make([][]SourceSpec, plan.Regions)
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
	f.authority = &controlProcess{ordinal: -1, address: address}
	if err := f.startControlProcess(f.authority, ""); err != nil {
		return err
	}
	if err := f.awaitControlProcess(ctx, f.authority); err != nil {
		return err
	}
	for i := range f.plan.Relays {
		r := &controlProcess{ordinal: i, zone: i % f.plan.Zones, region: i % f.plan.Zones % f.plan.Regions}
		if r.address, err = faultinjection.Reserve(); err != nil {
			return err
		}
		f.relays = append(f.relays, r)
		if err := f.startRelay(r); err != nil {
			return err
		}
	}
	for _, r := range f.relays {
		if err := f.awaitControlProcess(ctx, r); err != nil {
			return err
		}
	}
	return f.placeSources()
}

// startRelay starts a relay, by a way of its own to the authority.
func (f *fleet) startRelay(r *controlProcess) error {
	upstream, err := f.network.addressFrom(r.region, f.authority.region, f.authority.address)
	if err != nil {
		return err
	}
	return f.startControlProcess(r, upstream)
}

// placeSources says how each region's members reach the relays.
func (f *fleet) placeSources() error {
	if f.plan.corruptsAnswers() {
		var err error
		if f.corruptingProxy, err = newCorruptingProxy(f.relays[0].address); err != nil {
			return err
		}
	}
	for region := range f.plan.Regions {
		for _, r := range f.relays {
			behind := r.address
			if r.ordinal == 0 && f.corruptingProxy != nil {
				behind = f.corruptingProxy.address()
			}
			address, err := f.network.addressFrom(region, r.region, behind)
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
	for i := range f.hostProcesses {
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
	if spec.Settings, err = encodeSettings(f.Settings, f.plan, 0); err != nil {
		return err
	}
	for _, m := range f.members {
		if !m.real && m.host == i {
			f.recordStart(m.name)
			spec.Members = append(spec.Members, f.memberSpec(m))
		}
	}
	return f.runHost(i, spec)
}

// runHost starts a host and tells it who its members are.
func (f *fleet) runHost(i int, spec HostSpec) error {
	name := fmt.Sprintf("host%d", i)
	p, err := startProcess(command{name: name, role: roleHost, args: append(f.Lab[:len(f.Lab):len(f.Lab)], HollowCommand),
		env: append(f.Env[:len(f.Env):len(f.Env)], hostProcessors), dir: f.Dir, needsStdin: true,
		readStdout: func(out io.Reader) {
			f.records.read(out, func(read, written int64) { f.recordTraffic(name, read, written) })
		}})
	if err != nil {
		return err
	}
	f.hostProcesses[i] = p
	return json.NewEncoder(p.stdin).Encode(spec)
}

// hostProcessors bounds how many processors a host uses at once: several share the machine with all that it plays.
const hostProcessors = "GOMAXPROCS=2"

func (f *fleet) memberSpec(m *member) MemberSpec {
	hollow := m.ordinal - f.plan.RealCoordinators
	modules := f.plan.Modules
	return MemberSpec{Name: m.name, Ordinal: m.ordinal, FleetSize: f.plan.Coordinators, Zone: zoneName(m.zone), Region: regionName(m.region),
		Module:  (hollow+1)*modules/(f.plan.Coordinators-f.plan.RealCoordinators) > hollow*modules/(f.plan.Coordinators-f.plan.RealCoordinators),
		Sources: f.sources[m.region], Heartbeat: f.plan.Heartbeat}
}

func (f *fleet) recordStart(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started[name] = append(f.started[name], time.Now())
}

func (f *fleet) recordTraffic(host string, read, written int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hostTraffic[host] = [2]int64{read, written}
}

// awaitMembers waits until each member has the whole list and settings, and each real one takes clients.
func (f *fleet) awaitMembers(ctx context.Context) error {
	began := time.Now()
	for {
		missing := ""
		for _, m := range f.members {
			if !f.hasResource(m, List) || !f.hasResource(m, Settings) {
				missing = m.name
				break
			}
		}
		if missing == "" {
			break
		}
		if time.Since(began) > startTimeout {
			return fmt.Errorf("scale: %s has no whole list and settings after %v", missing, startTimeout)
		}
		if err := f.pause(ctx, pollInterval); err != nil {
			return err
		}
	}
	f.timeline.note("all members have list and settings")
	return nil
}

// has tells whether a member has had a resource whole since it was started last.
func (f *fleet) hasResource(m *member, r Resource) bool {
	last, ok := f.records.latest(m.name, r)
	f.mu.Lock()
	defer f.mu.Unlock()
	starts := f.started[m.name]
	return ok && last.Complete && last.At.After(starts[len(starts)-1])
}

const (
	pollInterval = 20 * time.Millisecond
	startTimeout = 3 * time.Minute
)

// pause waits, or returns what has ended the run, such as a process that ended by itself.
func (f *fleet) pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return ctx.Err()
	}
	for _, p := range f.processes() {
		if !p.isRunning() && !p.endExpected.Load() {
			return fmt.Errorf("scale: %s has ended by itself: %v; see its log in %s", p.name, p.exitErr, f.Dir)
		}
	}
	return nil
}

// processes lists all that have been started and are not meant to be over.
func (f *fleet) processes() (all []*process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range append([]*controlProcess{f.authority}, f.relays...) {
		if s != nil && s.process != nil {
			all = append(all, s.process)
		}
	}
	for _, p := range f.hostProcesses {
		if p != nil {
			all = append(all, p)
		}
	}
	for _, p := range f.realProcesses {
		all = append(all, p)
	}
	return all
}

// close ends everything that was started.
func (f *fleet) close() error {
	f.stopClients()
	all := f.processes()
	errs := make([]error, len(all))
	var ending sync.WaitGroup
	for i, p := range all {
		ending.Go(func() { errs[i] = p.stop() })
	}
	ending.Wait()
	f.network.close()
	f.replicas.close()
	if f.corruptingProxy != nil {
		f.corruptingProxy.close()
	}
	return errors.Join(append(errs, f.discoveryListener.Close())...)
}

// write puts a configuration into the run's folder, whole at once.
func (f *fleet) writeFile(name string, data []byte) (path string, err error) {
	path = filepath.Join(f.Dir, name)
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}
