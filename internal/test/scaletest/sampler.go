package scaletest

import (
	"context"
	"os"
	"runtime"
	"sync"
	"time"
)

// sample is what a process had spent at an instant.
type sample struct {
	at time.Time
	Usage
}

// sampler looks at all processes once a second.
type sampler struct {
	fleet *fleet

	mu             sync.Mutex
	samples        map[string][]sample // by process
	roles          map[string]role
	machineSamples []busySample
	lastCPU        map[string]time.Duration // each process's time when it was seen last
	ownCPU         time.Duration            // of all processes, those that have ended included
}

const sampleInterval = time.Second

func newSampler(f *fleet) *sampler {
	return &sampler{fleet: f, samples: map[string][]sample{}, roles: map[string]role{}, lastCPU: map[string]time.Duration{}}
}

// MachineLoad is how much of the machine was in use, by this run and by whatever else ran on it.
type MachineLoad struct {
	Cores int     `json:"cores"`
	Busy  float64 `json:"busy_cores"`
	Own   float64 `json:"own_cores"`
}

// busySample is the machine's busy time, and that of the run itself, at an instant.
type busySample struct {
	at        time.Time
	busy, own time.Duration
}

// run looks until ctx ends.
func (s *sampler) run(ctx context.Context) {
	ticks := time.NewTicker(sampleInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			s.sampleProcesses()
		case <-ctx.Done():
			return
		}
	}
}

// look takes one sample of each process. A host's bytes are those that its members count, others' are those that the system
// counts but for their logs.
func (s *sampler) sampleProcesses() {
	defer s.sampleMachine()
	for _, p := range s.fleet.processes() {
		u, err := readUsage(p.pid())
		if err != nil {
			continue
		}
		if u.Bytes -= p.loggedBytes(); p.role == roleHost {
			u.Bytes = s.fleet.hostBytes(p.name)
		}
		s.mu.Lock()
		s.addOwnCPU(p.name, u.CPU)
		s.samples[p.name], s.roles[p.name] = append(s.samples[p.name], sample{time.Now(), u}), p.role
		s.mu.Unlock()
	}
}

// count adds what a process has spent since it was seen last; one that was started anew begins at nothing. Under the lock.
func (s *sampler) addOwnCPU(process string, cpu time.Duration) {
	if last := s.lastCPU[process]; cpu >= last {
		s.ownCPU += cpu - last
	} else {
		s.ownCPU += cpu
	}
	s.lastCPU[process] = cpu
}

// lookAtMachine notes the machine's busy time; the run's own process counts with those that it has started.
func (s *sampler) sampleMachine() {
	busy, err := readMachineBusy()
	self, selfErr := readUsage(os.Getpid())
	if err != nil || selfErr != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addOwnCPU("", self.CPU)
	s.machineSamples = append(s.machineSamples, busySample{time.Now(), busy, s.ownCPU})
}

// machine is the mean load between two instants.
func (s *sampler) machineLoad(from, to time.Time) MachineLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := MachineLoad{Cores: runtime.NumCPU()}
	var some []busySample
	for _, x := range s.machineSamples {
		if !x.at.Before(from) && !x.at.After(to) {
			some = append(some, x)
		}
	}
	if len(some) < 2 {
		return load
	}
	first, last := some[0], some[len(some)-1]
	seconds := last.at.Sub(first.at).Seconds()
	load.Busy, load.Own = (last.busy-first.busy).Seconds()/seconds, (last.own-first.own).Seconds()/seconds
	return load
}

// hostBytes is what the members of a host have read and written.
func (f *fleet) hostBytes(name string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hostTraffic[name][0] + f.hostTraffic[name][1]
}

// Spent is what the processes of a role spent between two instants. Shares are of a core; bytes are those of distribution
// where the role has others.
type RoleCost struct {
	Processes   int     `json:"processes"`
	Members     int     `json:"members,omitempty"` // of hosts: the hollow coordinators
	CPU         float64 `json:"cpu_share"`         // of each, in the mean
	CPUMax      float64 `json:"cpu_share_most"`    // of the one that spent most
	CPUPeak     float64 `json:"cpu_share_peak"`    // of any, in the worst second
	KBPerS      float64 `json:"kb_per_s"`
	KBPerSMax   float64 `json:"kb_per_s_most"`
	KBPerSPeak  float64 `json:"kb_per_s_peak"`
	MemoryMB    float64 `json:"memory_mb"` // resident, of each in the mean
	MemoryMBMax float64 `json:"memory_mb_most"`
}

// spent sums up the samples of a role between two instants; per divides what a process spent, by its name.
func (s *sampler) roleCost(of role, from, to time.Time, per func(process string) int) RoleCost {
	s.mu.Lock()
	defer s.mu.Unlock()
	var total RoleCost
	for name, samples := range s.samples {
		if s.roles[name] != of {
			continue
		}
		total.add(samplesBetween(samples, from, to), float64(max(1, per(name))))
		total.Members += per(name)
	}
	if total.Processes > 0 {
		total.CPU /= float64(total.Processes)
		total.KBPerS /= float64(total.Processes)
		total.MemoryMB /= float64(total.Processes)
	}
	if total.Members == total.Processes {
		total.Members = 0
	}
	return total
}

func samplesBetween(samples []sample, from, to time.Time) (some []sample) {
	for _, x := range samples {
		if !x.at.Before(from) && !x.at.After(to) {
			some = append(some, x)
		}
	}
	return some
}

const (
	bytesPerKB = 1024
	kbPerMB    = 1024 // KB
)

// add takes one process in.
func (total *RoleCost) add(samples []sample, per float64) {
	if len(samples) < 2 {
		return
	}
	first, last := samples[0], samples[len(samples)-1]
	cpu, bytes := costRates(first, last, per)
	total.Processes++
	total.CPU += cpu
	total.CPUMax = max(total.CPUMax, cpu)
	total.KBPerS += bytes
	total.KBPerSMax = max(total.KBPerSMax, bytes)
	total.MemoryMB += float64(last.ResidentKB) / kbPerMB / per
	for i := 1; i < len(samples); i++ {
		cpu, bytes := costRates(samples[i-1], samples[i], per)
		total.CPUPeak, total.KBPerSPeak = max(total.CPUPeak, cpu), max(total.KBPerSPeak, bytes)
	}
	for _, x := range samples {
		total.MemoryMBMax = max(total.MemoryMBMax, float64(x.ResidentKB)/kbPerMB/per)
	}
}

// rates are the shares of a core and the KB a second between two samples. A process that was started anew has spent what it
// has spent since.
func costRates(from, to sample, per float64) (cpu, kbPerS float64) {
	seconds := to.at.Sub(from.at).Seconds()
	spentCPU, passed := to.CPU-from.CPU, to.Bytes-from.Bytes
	if spentCPU < 0 || passed < 0 {
		spentCPU, passed = to.CPU, to.Bytes
	}
	return spentCPU.Seconds() / seconds / per, float64(passed) / bytesPerKB / seconds / per
}
