package scaletest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"harepass/internal/test/faultinjection"
)

// Config holds the programs, files and environment of a run. Run does not validate it.
type Config struct {
	Dir      string    // existing folder for configuration files and logs
	Program  []string  // the harepass program, with the arguments before its sub-command
	Lab      []string  // a program that calls RunHost for HollowCommand, with the arguments before it
	Env      []string  // KEY=VALUE, added to this process's environment for all processes
	Settings []byte    // the site's settings, as JSON
	Log      io.Writer // receives a line for each event of the run; nil discards them
}

// member is a coordinator, hollow or real.
type member struct {
	name    string
	ordinal int // from 0, over the whole fleet
	zone    int
	region  int
	real    bool
	address string // where a real one listens for clients; empty until its first start
	host    int    // number of a hollow one's host process
}

// traffic is how many bytes the members of a host have read and written since its start.
type traffic struct{ read, written int64 }

// fleet holds all processes and fakes of a run. Its methods must be called from one goroutine, except those that lock
// mu themselves.
type fleet struct {
	Config
	plan              *Plan
	publisher         *publisher
	replicas          *replicas
	network           *network
	records           *records
	timeline          *timeline
	discoveryListener net.Listener
	discoveryAddress  string

	authority       *controlProcess
	relays          []*controlProcess
	members         []*member
	realProcesses   map[string]*process // by member; under mu
	hostProcesses   []*process          // by host number; nil until started
	sources         [][]SourceSpec      // by region
	clientPools     []*faultinjection.ClientPool
	corruptingProxy *corruptingProxy // in front of the first relay; nil if no fault corrupts answers

	background        sync.WaitGroup // goroutines that end with the run's context; close waits for them
	stopClientsOnce   sync.Once
	settingsFileMutex sync.Mutex // held while the settings file is written and the authority is signalled to read it

	mu              sync.Mutex
	settingsNumber  int64                  // of the latest version of the settings
	started         map[string][]time.Time // start times of each member's processes, by member
	isolatedRegions map[int]bool
	hostTraffic     map[string]traffic // by host process
}

// newFleet starts the fakes that run in this process, and assigns members to zones and hosts.
func newFleet(config Config, plan *Plan) (*fleet, error) {
	f := &fleet{
		Config: config, plan: plan,
		network: &network{plan: plan}, records: newRecords(), timeline: newTimeline(config.Log),
		realProcesses: map[string]*process{}, hostProcesses: make([]*process, plan.Hosts),
		sources: make([][]SourceSpec, plan.Regions),
		started: map[string][]time.Time{}, isolatedRegions: map[int]bool{}, hostTraffic: map[string]traffic{},
	}
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
	go f.publisher.registry.Serve(f.discoveryListener) // ends when close closes the listener
	for i := range plan.Coordinators {
		f.members = append(f.members, newMember(plan, i))
	}
	return f, nil
}

// newMember assigns a coordinator to its zone, region and host.
func newMember(plan *Plan, ordinal int) *member {
	m := &member{
		name: fmt.Sprintf("c%d", ordinal), ordinal: ordinal, zone: ordinal % plan.Zones,
		real: ordinal < plan.RealCoordinators,
	}
	m.region = m.zone % plan.Regions
	if !m.real {
		m.host = (ordinal - plan.RealCoordinators) * plan.Hosts / (plan.Coordinators - plan.RealCoordinators)
	}
	return m
}

func zoneName(zone int) string { return fmt.Sprintf("z%d", zone) }

func regionName(region int) string { return fmt.Sprintf("r%d", region) }

// pollInterval is the time between two checks of a condition that a run waits for.
const pollInterval = 20 * time.Millisecond

// wait waits for d. It returns the context's error if ctx ends first, or an error that wraps ErrProcessFailed if a
// process has exited unexpectedly.
func (f *fleet) wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return ctx.Err()
	}
	for _, p := range f.processes() {
		if !p.isRunning() && !p.endExpected.Load() {
			return fmt.Errorf("%w: %s exited unexpectedly: %v; see its log in %s",
				ErrProcessFailed, p.name, p.exitErr, f.Dir)
		}
	}
	return nil
}

// waitUntil waits until an instant and returns the same errors as wait.
func (f *fleet) waitUntil(ctx context.Context, at time.Time) error {
	for time.Now().Before(at) {
		if err := f.wait(ctx, min(time.Until(at), time.Second)); err != nil {
			return err
		}
	}
	return nil
}

// processes returns the latest process of each control process, host and real coordinator.
func (f *fleet) processes() (all []*process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, control := range append([]*controlProcess{f.authority}, f.relays...) {
		if control != nil && control.process != nil {
			all = append(all, control.process)
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

// close stops everything that the fleet has started. The run's context must have ended before. The error joins those of
// all processes.
func (f *fleet) close() error {
	f.stopClients()
	all := f.processes()
	errs := make([]error, len(all))
	var stopping sync.WaitGroup
	for i, p := range all {
		stopping.Go(func() { errs[i] = p.stop() })
	}
	stopping.Wait()
	f.network.close()
	f.replicas.close()
	if f.corruptingProxy != nil {
		f.corruptingProxy.close()
	}
	errs = append(errs, f.discoveryListener.Close())
	f.background.Wait()
	return errors.Join(errs...)
}
