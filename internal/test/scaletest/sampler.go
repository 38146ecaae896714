package scaletest

import (
	"context"
	"os"
	"runtime"
	"sync"
	"time"
)

// sampleInterval is the time between two samples of each process.
const sampleInterval = time.Second

// sample is the resource usage of a process since its start, at an instant.
type sample struct {
	at time.Time
	Usage
}

// machineSample is the CPU time that the machine since its start, and this run as part of it, had used at an
// instant.
type machineSample struct {
	at        time.Time
	busy, own time.Duration
}

// sampler samples the resource usage of all processes. Its methods are safe for concurrent use.
type sampler struct {
	fleet *fleet

	mu             sync.Mutex
	samples        map[string][]sample // by process
	roles          map[string]role     // by process
	machineSamples []machineSample
	lastCPU        map[string]time.Duration // each process's CPU time at its last sample
	ownCPU         time.Duration            // CPU time of all processes of the run, including those that have exited
}

// newSampler returns a sampler for the processes of a fleet.
func newSampler(f *fleet) *sampler {
	return &sampler{
		fleet: f, samples: map[string][]sample{}, roles: map[string]role{}, lastCPU: map[string]time.Duration{},
	}
}

// run takes samples until ctx ends.
func (s *sampler) run(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.sampleProcesses()
			s.sampleMachine()
		case <-ctx.Done():
			return
		}
	}
}

// sampleProcesses takes one sample of each process. The bytes of a host are those counted by its members; the bytes of
// other processes are those counted by the operating system, without their logs.
func (s *sampler) sampleProcesses() {
	for _, p := range s.fleet.processes() {
		usage, err := readUsage(p.pid())
		if err != nil {
			continue
		}
		if p.role == roleHost {
			usage.Bytes = s.fleet.hostBytes(p.name)
		} else {
			usage.Bytes -= p.loggedBytes()
		}
		s.mu.Lock()
		s.addOwnCPU(p.name, usage.CPU)
		s.samples[p.name] = append(s.samples[p.name], sample{time.Now(), usage})
		s.roles[p.name] = p.role
		s.mu.Unlock()
	}
}

// addOwnCPU adds the CPU time that a process has used since its last sample. A lower CPU time than at the last sample
// means that the process was restarted, and counts from zero. The caller must hold the lock.
func (s *sampler) addOwnCPU(process string, cpu time.Duration) {
	if last := s.lastCPU[process]; cpu >= last {
		s.ownCPU += cpu - last
	} else {
		s.ownCPU += cpu
	}
	s.lastCPU[process] = cpu
}

// sampleMachine takes one sample of the machine. It counts this process as part of the run.
func (s *sampler) sampleMachine() {
	busy, err := readMachineBusy()
	self, selfErr := readUsage(os.Getpid())
	if err != nil || selfErr != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addOwnCPU("", self.CPU)
	s.machineSamples = append(s.machineSamples, machineSample{time.Now(), busy, s.ownCPU})
}

// MachineLoad is the number of the machine's cores in use, by the run and by all processes together.
type MachineLoad struct {
	Cores int     `json:"cores"`      // number of cores of the machine
	Busy  float64 `json:"busy_cores"` // cores in use by all processes
	Own   float64 `json:"own_cores"`  // cores in use by the run
}

// machineLoad returns the mean load between two instants. With fewer than two samples in between, the cores in use are
// zero.
func (s *sampler) machineLoad(from, to time.Time) MachineLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := MachineLoad{Cores: runtime.NumCPU()}
	var selected []machineSample
	for _, x := range s.machineSamples {
		if !x.at.Before(from) && !x.at.After(to) {
			selected = append(selected, x)
		}
	}
	if len(selected) < 2 {
		return load
	}
	first, last := selected[0], selected[len(selected)-1]
	seconds := last.at.Sub(first.at).Seconds()
	load.Busy, load.Own = (last.busy-first.busy).Seconds()/seconds, (last.own-first.own).Seconds()/seconds
	return load
}

// roleCost summarizes the samples of a role between two instants. The usage of a process is divided by its number of
// members, which membersOf returns; a result below 1 divides by 1.
func (s *sampler) roleCost(of role, from, to time.Time, membersOf func(process string) int) RoleCost {
	s.mu.Lock()
	defer s.mu.Unlock()
	var total RoleCost
	for name, samples := range s.samples {
		if s.roles[name] != of {
			continue
		}
		members := membersOf(name)
		total.add(samplesBetween(samples, from, to), float64(max(1, members)))
		total.Members += members
	}
	total.average()
	return total
}

// samplesBetween returns the samples from one instant to another, both included.
func samplesBetween(samples []sample, from, to time.Time) (selected []sample) {
	for _, x := range samples {
		if !x.at.Before(from) && !x.at.After(to) {
			selected = append(selected, x)
		}
	}
	return selected
}

// hostBytes returns how many bytes the members of a host have read and written.
func (f *fleet) hostBytes(host string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hostTraffic[host].read + f.hostTraffic[host].written
}
