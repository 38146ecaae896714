package scaletest

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Limits on what one machine can run.
const (
	maxProcesses        = 300
	maxRegions          = 7
	maxZones            = 19
	maxCoordinators     = 1500
	maxRealCoordinators = 40
	maxHosts            = 20
	maxEndpoints        = 7000
	maxReplicas         = 60
	maxClients          = 20 // of each real coordinator
	maxControlProcesses = 10 // including the authority
	maxDuration         = 10 * time.Minute
)

// validate returns an error for the first invalid value of the plan. The error names the plan's YAML key.
func (p *Plan) validate() error {
	if err := p.validateSizes(); err != nil {
		return err
	}
	switch {
	case p.Hosts == 0 && p.Coordinators > p.RealCoordinators:
		return errors.New("hosts: hollow coordinators need at least one host")
	case p.Duration <= 0 || p.Duration > maxDuration:
		return fmt.Errorf("lasts: %v must be above 0 and at most %v", p.Duration, maxDuration)
	case p.Relays == 0 && p.Baseline == nil:
		return errors.New("relays: a plan without relays needs a baseline")
	case p.RingSize > 0 && (p.RingSize <= maxReplicaPositions || p.RingSize > p.Endpoints):
		return fmt.Errorf("cells: %d is not in the range from %d to %d", p.RingSize, maxReplicaPositions+1, p.Endpoints)
	case p.Clients > 0 && p.Replicas < minReplicasForClients:
		return fmt.Errorf("nodes: clients need at least %d replicas that answer", minReplicasForClients)
	case 1+p.Relays+p.Hosts+p.RealCoordinators > maxProcesses:
		return fmt.Errorf("relays, hosts and real: the run would start more than %d processes", maxProcesses)
	}
	for i, fault := range p.Faults {
		if err := p.validateFault(fault); err != nil {
			return fmt.Errorf("troubles: entry %d at %v: %w", i+1, fault.At, err)
		}
		if i > 0 && fault.At < p.Faults[i-1].At {
			return fmt.Errorf("troubles: entry %d at %v is earlier than the previous one; sort by at", i+1, fault.At)
		}
	}
	return nil
}

// validateSizes returns an error for the first size that is out of its range.
func (p *Plan) validateSizes() error {
	for _, size := range []struct {
		key             string
		value, min, max int
	}{
		{"regions", p.Regions, 1, maxRegions},
		{"zones", p.Zones, p.Regions, maxZones},
		{"coordinators", p.Coordinators, 1, maxCoordinators},
		{"real", p.RealCoordinators, 0, min(maxRealCoordinators, p.Coordinators)},
		{"modules", p.Modules, 0, p.Coordinators - p.RealCoordinators},
		{"hosts", p.Hosts, 0, maxHosts},
		{"entries", p.Endpoints, 1, maxEndpoints},
		{"nodes", p.Replicas, 0, min(maxReplicas, p.Endpoints)},
		{"clients", p.Clients, 0, maxClients},
		{"relays", p.Relays, 0, maxControlProcesses - 1},
	} {
		if size.value < size.min || size.value > size.max {
			return fmt.Errorf("%s: %d is not in the range from %d to %d", size.key, size.value, size.min, size.max)
		}
	}
	return nil
}

// validateFault returns an error for the first invalid value of a fault.
func (p *Plan) validateFault(fault Fault) error {
	actions := 0
	for _, target := range []struct {
		key    string
		number *int
		count  int
	}{
		{"kill_relay", fault.KillRelay, p.Relays},
		{"pause_relay", fault.PauseRelay, p.Relays},
		{"cut_region", fault.IsolateRegion, p.Regions},
		{"zone_gone", fault.RemoveZone, p.Zones},
	} {
		if target.number == nil {
			continue
		}
		actions++
		if *target.number < 0 || *target.number >= target.count {
			return fmt.Errorf("%s: %d is not in the range from 0 to %d", target.key, *target.number, target.count-1)
		}
	}
	for _, set := range []bool{fault.RestartAll, fault.CorruptAnswers != "", fault.Settings != ""} {
		if set {
			actions++
		}
	}
	switch {
	case actions != 1:
		return fmt.Errorf("names %d faults; each entry must name exactly one", actions)
	case (fault.PauseRelay != nil || fault.IsolateRegion != nil) && fault.Duration <= 0:
		return errors.New("for: pause_relay and cut_region need a duration above 0")
	case fault.At+fault.Duration >= p.Duration:
		return fmt.Errorf("ends at or after the end of the run, which lasts %v", p.Duration)
	case fault.CorruptAnswers != "" && !slices.Contains(Corruptions, fault.CorruptAnswers):
		return fmt.Errorf("spoil: %q is not one of %v", fault.CorruptAnswers, Corruptions)
	case fault.Settings != "" && fault.Settings != invalidSettings:
		return fmt.Errorf("settings: %q is not supported; the only value is %q", fault.Settings, invalidSettings)
	}
	return nil
}
