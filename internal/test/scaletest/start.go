package scaletest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"harepass/internal/test/faultinjection"
)

// startTimeout limits the time from the start of all members until each has the endpoint list and the settings.
const startTimeout = 3 * time.Minute

// hostProcessors limits how many processors a host uses at once, because several hosts share the machine with all other
// processes of the run.
const hostProcessors = "GOMAXPROCS=2"

// startControl starts the authority, then the relays, and waits until each has the complete endpoint list and the
// settings.
func (f *fleet) startControl(ctx context.Context) error {
	if err := f.writeSettings(); err != nil {
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
		zone := i % f.plan.Zones
		relay := &controlProcess{ordinal: i, zone: zone, region: zone % f.plan.Regions}
		if relay.address, err = faultinjection.Reserve(); err != nil {
			return err
		}
		f.relays = append(f.relays, relay)
		if err := f.startRelay(relay); err != nil {
			return err
		}
	}
	for _, relay := range f.relays {
		if err := f.awaitControlProcess(ctx, relay); err != nil {
			return err
		}
	}
	return f.openSourceLinks()
}

// startRelay starts a relay that reaches the authority through its own link, or directly if addressFrom opens none.
func (f *fleet) startRelay(relay *controlProcess) error {
	upstream, err := f.network.addressFrom(relay.region, f.authority.region, f.authority.address)
	if err != nil {
		return err
	}
	return f.startControlProcess(relay, upstream)
}

// openSourceLinks opens the links by which the members of each region reach the relays, and places the corrupting proxy
// in front of the first relay if a fault corrupts answers.
func (f *fleet) openSourceLinks() error {
	if f.plan.corruptsAnswers() {
		var err error
		if f.corruptingProxy, err = newCorruptingProxy(f.relays[0].address); err != nil {
			return err
		}
	}
	for region := range f.plan.Regions {
		for _, relay := range f.relays {
			target := relay.address
			if relay.ordinal == 0 && f.corruptingProxy != nil {
				target = f.corruptingProxy.address()
			}
			address, err := f.network.addressFrom(region, relay.region, target)
			if err != nil {
				return err
			}
			f.sources[region] = append(f.sources[region],
				SourceSpec{address, zoneName(relay.zone), regionName(relay.region)})
		}
	}
	return nil
}

// startMembers starts all hosts and real coordinators without waiting for any of them.
func (f *fleet) startMembers() error {
	for host := range f.hostProcesses {
		if err := f.startHost(host, f.memberSpec); err != nil {
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
	f.timeline.logf("%d members started", len(f.members))
	return nil
}

// startHost starts a host with its hollow members, which specOf describes.
func (f *fleet) startHost(host int, specOf func(*member) MemberSpec) error {
	spec := HostSpec{}
	var err error
	if spec.Settings, err = encodeSettings(f.Settings, f.plan, 0); err != nil {
		return err
	}
	for _, m := range f.members {
		if !m.real && m.host == host {
			f.recordStart(m.name)
			spec.Members = append(spec.Members, specOf(m))
		}
	}
	return f.runHost(host, spec)
}

// runHost starts a host process and writes its HostSpec to its standard input.
func (f *fleet) runHost(host int, spec HostSpec) error {
	name := fmt.Sprintf("host%d", host)
	p, err := startProcess(command{
		name: name, role: roleHost, dir: f.Dir, needsStdin: true,
		args: slices.Concat(f.Lab, []string{HollowCommand}),
		env:  slices.Concat(f.Env, []string{hostProcessors}),
		readStdout: func(stdout io.Reader) {
			f.records.read(stdout, func(read, written int64) { f.recordTraffic(name, read, written) })
		},
	})
	if err != nil {
		return err
	}
	f.hostProcesses[host] = p
	return json.NewEncoder(p.stdin).Encode(spec)
}

// memberSpec describes a hollow member that follows the relays. It spreads the decision modules evenly over all hollow
// members.
func (f *fleet) memberSpec(m *member) MemberSpec {
	hollowOrdinal, hollowCount := m.ordinal-f.plan.RealCoordinators, f.plan.Coordinators-f.plan.RealCoordinators
	modulesBefore := hollowOrdinal * f.plan.Modules / hollowCount
	modulesWith := (hollowOrdinal + 1) * f.plan.Modules / hollowCount
	return MemberSpec{
		Name: m.name, Ordinal: m.ordinal, FleetSize: f.plan.Coordinators,
		Zone: zoneName(m.zone), Region: regionName(m.region),
		Module: modulesWith > modulesBefore, Sources: f.sources[m.region], Heartbeat: f.plan.Heartbeat,
	}
}

// recordStart records that a process of a member is being started.
func (f *fleet) recordStart(member string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started[member] = append(f.started[member], time.Now())
}

// recordTraffic records how many bytes the members of a host have read and written since its start.
func (f *fleet) recordTraffic(host string, read, written int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hostTraffic[host] = traffic{read, written}
}

// awaitMembers waits until each member has the complete endpoint list and the settings. The error wraps ErrStartTimeout
// if this takes longer than startTimeout.
func (f *fleet) awaitMembers(ctx context.Context) error {
	began := time.Now()
	for {
		missing := slices.IndexFunc(f.members, func(m *member) bool {
			return !f.hasResource(m, List) || !f.hasResource(m, Settings)
		})
		if missing < 0 {
			f.timeline.logf("all members have the endpoint list and the settings")
			return nil
		}
		if time.Since(began) > startTimeout {
			return fmt.Errorf("%w: %s lacks the complete endpoint list or settings after %v",
				ErrStartTimeout, f.members[missing].name, startTimeout)
		}
		if err := f.wait(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// hasResource reports whether a member's latest version of a resource is complete and was recorded after the member's
// last start.
func (f *fleet) hasResource(m *member, resource Resource) bool {
	last, ok := f.records.latest(m.name, resource)
	f.mu.Lock()
	defer f.mu.Unlock()
	starts := f.started[m.name]
	return ok && last.Complete && last.At.After(starts[len(starts)-1])
}
