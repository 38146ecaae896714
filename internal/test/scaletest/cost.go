package scaletest

// RoleCost is the resource usage of a role's processes between two instants. CPU is in shares of a core. Bytes count
// only distribution for hosts, and all sockets and files except the log for other roles. All figures except Processes
// and Members are for one process or, for hosts, for one member.
type RoleCost struct {
	Processes  int     `json:"processes"`
	Members    int     `json:"members,omitempty"` // hollow coordinators in the hosts; 0 for other roles
	CPU        float64 `json:"cpu_share"`         // mean over the processes
	CPUMax     float64 `json:"cpu_share_most"`    // of the process with the highest value
	CPUPeak    float64 `json:"cpu_share_peak"`    // highest of any process between two consecutive samples
	KBPerS     float64 `json:"kb_per_s"`          // mean over the processes
	KBPerSMax  float64 `json:"kb_per_s_most"`     // of the process with the highest value
	KBPerSPeak float64 `json:"kb_per_s_peak"`     // highest of any process between two consecutive samples
	MemoryMB   float64 `json:"memory_mb"`         // resident size at the last sample, mean over the processes
	// MemoryMBMax is the largest resident size of any process in any sample.
	MemoryMBMax float64 `json:"memory_mb_most"`
}

const (
	bytesPerKB = 1024
	kbPerMB    = 1024
)

// add adds the samples of one process, whose usage is divided equally among its members. It ignores a process with
// fewer than two samples, which give no rate.
func (c *RoleCost) add(samples []sample, members float64) {
	if len(samples) < 2 {
		return
	}
	first, last := samples[0], samples[len(samples)-1]
	cpu, kbPerS := costRates(first, last, members)
	c.Processes++
	c.CPU += cpu
	c.CPUMax = max(c.CPUMax, cpu)
	c.KBPerS += kbPerS
	c.KBPerSMax = max(c.KBPerSMax, kbPerS)
	c.MemoryMB += float64(last.ResidentKB) / kbPerMB / members
	for i := 1; i < len(samples); i++ {
		cpu, kbPerS := costRates(samples[i-1], samples[i], members)
		c.CPUPeak, c.KBPerSPeak = max(c.CPUPeak, cpu), max(c.KBPerSPeak, kbPerS)
	}
	for _, x := range samples {
		c.MemoryMBMax = max(c.MemoryMBMax, float64(x.ResidentKB)/kbPerMB/members)
	}
}

// average turns the sums over all processes into means. Call it once, after the last add. It clears Members if there is
// one member for each process.
func (c *RoleCost) average() {
	if c.Processes > 0 {
		c.CPU /= float64(c.Processes)
		c.KBPerS /= float64(c.Processes)
		c.MemoryMB /= float64(c.Processes)
	}
	if c.Members == c.Processes {
		c.Members = 0
	}
}

// costRates returns each member's share of a core and KB per second between two samples of a process. If a counter has
// decreased, the process was restarted in between, and only its usage since the restart counts.
func costRates(from, to sample, members float64) (cpu, kbPerS float64) {
	seconds := to.at.Sub(from.at).Seconds()
	spentCPU, bytes := to.CPU-from.CPU, to.Bytes-from.Bytes
	if spentCPU < 0 || bytes < 0 {
		spentCPU, bytes = to.CPU, to.Bytes
	}
	return spentCPU.Seconds() / seconds / members, float64(bytes) / bytesPerKB / seconds / members
}
