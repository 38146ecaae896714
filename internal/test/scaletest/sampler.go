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

	mu      sync.Mutex
	samples map[string][]sample // by process
	roles   map[string]role
	busy    []busySample
	last    map[string]time.Duration // each process's time when it was seen last
	own     time.Duration            // of all processes, those that have ended included
}

const sampleEvery = time.Second

func newSampler(f *fleet) *sampler {
	return &sampler{fleet: f, samples: map[string][]sample{}, roles: map[string]role{}, last: map[string]time.Duration{}}
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
	ticks := time.NewTicker(sampleEvery)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			s.look()
		case <-ctx.Done():
			return
		}
	}
}

// look takes one sample of each process. A host's bytes are those that its members count, others' are those that the system
// counts but for their logs.
func (s *sampler) look() {
	defer s.lookAtMachine()
	for _, p := range s.fleet.processes() {
		u, err := usageOf(p.pid())
		if err != nil {
			continue
		}
		if u.Bytes -= p.logged(); p.role == roleHost {
			u.Bytes = s.fleet.hostBytes(p.name)
		}
		s.mu.Lock()
		s.count(p.name, u.CPU)
		s.samples[p.name], s.roles[p.name] = append(s.samples[p.name], sample{time.Now(), u}), p.role
		s.mu.Unlock()
	}
}

// count adds what a process has spent since it was seen last; one that was started anew begins at nothing. Under the lock.
func (s *sampler) count(process string, cpu time.Duration) {
	if last := s.last[process]; cpu >= last {
		s.own += cpu - last
	} else {
		s.own += cpu
	}
	s.last[process] = cpu
}

// lookAtMachine notes the machine's busy time; the run's own process counts with those that it has started.
func (s *sampler) lookAtMachine() {
	busy, err := machineBusy()
	self, selfErr := usageOf(os.Getpid())
	if err != nil || selfErr != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count("", self.CPU)
	s.busy = append(s.busy, busySample{time.Now(), busy, s.own})
}

// machine is the mean load between two instants.
func (s *sampler) machine(from, to time.Time) MachineLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := MachineLoad{Cores: runtime.NumCPU()}
	var some []busySample
	for _, x := range s.busy {
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
	return f.bytes[name][0] + f.bytes[name][1]
}

// Spent is what the processes of a role spent between two instants. Shares are of a core; bytes are those of distribution
// where the role has others.
type Spent struct {
	Processes  int     `json:"processes"`
	Members    int     `json:"members,omitempty"` // of hosts: the hollow coordinators
	CPU        float64 `json:"cpu_share"`         // of each, in the mean
	CPUMost    float64 `json:"cpu_share_most"`    // of the one that spent most
	CPUPeak    float64 `json:"cpu_share_peak"`    // of any, in the worst second
	KBPerS     float64 `json:"kb_per_s"`
	KBPerSMost float64 `json:"kb_per_s_most"`
	KBPerSPeak float64 `json:"kb_per_s_peak"`
	MemoryMB   float64 `json:"memory_mb"` // resident, of each in the mean
	MemoryMost float64 `json:"memory_mb_most"`
}

// spent sums up the samples of a role between two instants; per divides what a process spent, by its name.
func (s *sampler) spent(of role, from, to time.Time, per func(process string) int) Spent {
	s.mu.Lock()
	defer s.mu.Unlock()
	var total Spent
	for name, samples := range s.samples {
		if s.roles[name] != of {
			continue
		}
		total.add(within(samples, from, to), float64(max(1, per(name))))
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

func within(samples []sample, from, to time.Time) (some []sample) {
	for _, x := range samples {
		if !x.at.Before(from) && !x.at.After(to) {
			some = append(some, x)
		}
	}
	return some
}

const (
	kb = 1024
	mb = 1024 // KB
)

// add takes one process in.
func (total *Spent) add(samples []sample, per float64) {
	if len(samples) < 2 {
		return
	}
	first, last := samples[0], samples[len(samples)-1]
	cpu, bytes := rates(first, last, per)
	total.Processes++
	total.CPU += cpu
	total.CPUMost = max(total.CPUMost, cpu)
	total.KBPerS += bytes
	total.KBPerSMost = max(total.KBPerSMost, bytes)
	total.MemoryMB += float64(last.KB) / mb / per
	for i := 1; i < len(samples); i++ {
		cpu, bytes := rates(samples[i-1], samples[i], per)
		total.CPUPeak, total.KBPerSPeak = max(total.CPUPeak, cpu), max(total.KBPerSPeak, bytes)
	}
	for _, x := range samples {
		total.MemoryMost = max(total.MemoryMost, float64(x.KB)/mb/per)
	}
}

// rates are the shares of a core and the KB a second between two samples. A process that was started anew has spent what it
// has spent since.
func rates(from, to sample, per float64) (cpu, kbPerS float64) {
	seconds := to.at.Sub(from.at).Seconds()
	spentCPU, passed := to.CPU-from.CPU, to.Bytes-from.Bytes
	if spentCPU < 0 || passed < 0 {
		spentCPU, passed = to.CPU, to.Bytes
	}
	return spentCPU.Seconds() / seconds / per, float64(passed) / kb / seconds / per
}
