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

// Config says what a run is played with. Run does not check it.
type Config struct {
	Dir      string    // existing folder for configurations and logs
	Program  []string  // the program to run, with the arguments that come before its sub-command
	Lab      []string  // a program that calls RunHost for HollowCommand, with the arguments before that
	Env      []string  // environment of all processes, KEY=VALUE, besides this process's own
	Settings []byte    // the site's settings, as JSON
	Log      io.Writer // gets a line for each event of the run; nil discards them
}

// member is a coordinator, hollow or real.
type member struct {
	name    string
	ordinal int // from 0, over the whole fleet
	zone    int
	region  int
	real    bool
	address string // where a real one listens for clients; empty until it is started
	host    int    // number of the host process of a hollow one
}

// traffic is how many bytes the members of a host have read and written since its start.
type traffic struct{ read, written int64 }

// fleet is everything that runs. One goroutine calls its methods, except those that take the lock themselves.
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
	corruptingProxy *corruptingProxy // before the first relay; nil where no fault corrupts answers

	background        sync.WaitGroup // goroutines that end with the run's context; close waits for them
	stopClientsOnce   sync.Once
	settingsFileMutex sync.Mutex // locked while the settings file is written and the authority is told of it

	mu              sync.Mutex
	settingsNumber  int64                  // of the latest version of the settings
	started         map[string][]time.Time // when a member's processes were started, by member
	isolatedRegions map[int]bool
	hostTraffic     map[string]traffic // by host process
}

// newFleet opens what runs in this process, and assigns members to zones and hosts.
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

// pollInterval is the time between two looks at a condition that a run waits for.
const pollInterval = 20 * time.Millisecond

// wait waits for d. It returns an error where ctx has ended, or one that wraps ErrProcessFailed where a process has
// exited by itself.
func (f *fleet) wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return ctx.Err()
	}
	for _, p := range f.processes() {
		if !p.isRunning() && !p.endExpected.Load() {
			return fmt.Errorf("%w: %s exited by itself: %v; see its log in %s",
				ErrProcessFailed, p.name, p.exitErr, f.Dir)
		}
	}
	return nil
}

// waitUntil waits for an instant, with the errors of wait.
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

// close stops everything that was started. The run's context has to have ended before. Its error joins those of all
// processes.
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
