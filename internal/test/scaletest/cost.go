package scaletest

// RoleCost is what the processes of a role spent between two instants. CPU is in shares of a core; bytes are those of
// distribution alone for hosts, and those of all sockets and files but the log for other roles. All figures but
// Processes and Members are of a process, or of a member of a host.
type RoleCost struct {
	Processes  int     `json:"processes"`
	Members    int     `json:"members,omitempty"` // hollow coordinators of the hosts; 0 for other roles
	CPU        float64 `json:"cpu_share"`         // mean over the processes
	CPUMax     float64 `json:"cpu_share_most"`    // of the process that spent most
	CPUPeak    float64 `json:"cpu_share_peak"`    // of any process between any two samples
	KBPerS     float64 `json:"kb_per_s"`          // mean over the processes
	KBPerSMax  float64 `json:"kb_per_s_most"`     // of the process that read and wrote most
	KBPerSPeak float64 `json:"kb_per_s_peak"`     // of any process between any two samples
	MemoryMB   float64 `json:"memory_mb"`         // resident at the end, mean over the processes
	// MemoryMBMax is the largest resident size of any process in any sample.
	MemoryMBMax float64 `json:"memory_mb_most"`
}

const (
	bytesPerKB = 1024
	kbPerMB    = 1024
)

// add takes in the samples of one process, of which each of its members has an equal share. Fewer than two say nothing.
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

// average turns the sums over all processes into means. It is to be called once, after the last add.
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

// costRates returns each member's share of a core and KB a second between two samples of a process. A process that was
// started again in between has spent what it has spent since that start.
func costRates(from, to sample, members float64) (cpu, kbPerS float64) {
	seconds := to.at.Sub(from.at).Seconds()
	spentCPU, bytes := to.CPU-from.CPU, to.Bytes-from.Bytes
	if spentCPU < 0 || bytes < 0 {
		spentCPU, bytes = to.CPU, to.Bytes
	}
	return spentCPU.Seconds() / seconds / members, float64(bytes) / bytesPerKB / seconds / members
}
