package scatter

import (
	"math"
	"slices"
	"time"
)

// Checkpoint is what a Machine has learned. It is passed on to another Machine of the same coordinator that uses the
// same clock. Without it, a new version of the program would send to replicas that are in slow start, ejected or
// overloaded as to healthy ones until it had learned their state itself. Instants are on the coordinator's clock. The
// JSON names are part of the stored format and must not change.
type Checkpoint struct {
	At           time.Duration `json:"at"`   // time of the Machine's last step
	WarmedUpRate float64       `json:"warm"` // parts per second served by each warmed up replica
	// DemandRate is parts per second of admitted queries for each usable replica, of which at most RingSize count.
	DemandRate float64 `json:"asked"`
	Intervals  float64 `json:"refills"` // rebalance intervals over which these rates were observed
	LoadFactor float64 `json:"strain"`  // recent latency of parts, relative to class mean times latency ratio
	// IdleLimit is the shortest time that lost connections had been unused, raised since at each periodic rebalance.
	IdleLimit time.Duration       `json:"idle_limit"`
	Classes   []ClassCheckpoint   `json:"classes"`
	Replicas  []ReplicaCheckpoint `json:"replicas"`
	Shards    []ShardCheckpoint   `json:"shards"`
}

// ClassCheckpoint is what was learned of a class. Latencies are in seconds.
type ClassCheckpoint struct {
	Name        string    `json:"name"`
	MeanLatency float64   `json:"base"`
	MinService  float64   `json:"work"`
	Latencies   []float64 `json:"seen"`
}

// ReplicaCheckpoint is what was learned of a replica. Lists are by class, in the order of Checkpoint.Classes.
type ReplicaCheckpoint struct {
	ID                    string        `json:"id"`
	StartedAt             time.Duration `json:"since"` // start of the process that the figures are of
	LatencyRatio          float64       `json:"ratio"`
	SlowStartFrom         time.Duration `json:"cold_from,omitempty"`
	Ejected               bool          `json:"suspect,omitempty"`
	FailsFast             bool          `json:"failing,omitempty"`
	MayHaveRestarted      bool          `json:"restarted,omitempty"`
	ProbeSuccesses        int           `json:"good,omitempty"`
	ConsecutiveFaults     int           `json:"errors,omitempty"`
	ConsecutiveRejections int           `json:"fulls,omitempty"`
	ProbeBackoff          time.Duration `json:"pause,omitempty"`
	EjectedAt             time.Duration `json:"suspect_at,omitempty"`
	NextProbe             time.Duration `json:"trial_at,omitempty"`
	LastSuccess           time.Duration `json:"last_ok,omitempty"`
	RejectingUntil        time.Duration `json:"full_until,omitempty"`
	AvoidUntil            time.Duration `json:"shun_until,omitempty"`
	LastFailure           time.Duration `json:"failed_at,omitempty"`
	LastReset             time.Duration `json:"reset_at,omitempty"`
	LastError             time.Duration `json:"error_at,omitempty"`

	ClassConsecutiveFaults []int           `json:"faults,omitempty"`
	ClassExcludedUntil     []time.Duration `json:"barred,omitempty"`
	ClassLastSuccess       []time.Duration `json:"ok_at,omitempty"`
	ClassLastUnanswered    []time.Duration `json:"lost_at,omitempty"`
}

// ShardCheckpoint is a shard's traffic by class. Rates are sums of its parts that decay at each periodic rebalance, as
// in shard.rates.
type ShardCheckpoint struct {
	Number int       `json:"no"`
	Rates  []float64 `json:"rates"`
}

// Checkpoint returns what the Machine has learned. The result shares no memory with the Machine.
func (m *Machine) Checkpoint() Checkpoint {
	c := Checkpoint{
		At:           m.now,
		WarmedUpRate: m.traffic.warmedUpRate,
		DemandRate:   m.traffic.demandRate,
		Intervals:    m.traffic.intervals,
		LoadFactor:   m.loadFactor,
		IdleLimit:    m.idleConnections.limit,
	}
	for _, k := range m.classes.list {
		c.Classes = append(c.Classes, k.checkpoint())
	}
	for _, r := range m.replicas.all {
		c.Replicas = append(c.Replicas, r.checkpoint())
	}
	for _, s := range m.shards.inUse {
		s.decay(m.shares.periods)
		c.Shards = append(c.Shards, ShardCheckpoint{Number: s.number, Rates: slices.Clone(s.rates)})
	}
	return c
}

func (c *class) checkpoint() ClassCheckpoint {
	return ClassCheckpoint{
		Name:        c.Name,
		MeanLatency: c.meanLatency,
		MinService:  c.minService,
		Latencies:   slices.Clone(c.samples.latest()),
	}
}

func (r *replica) checkpoint() ReplicaCheckpoint {
	h := &r.health
	return ReplicaCheckpoint{
		ID:                     r.ID,
		StartedAt:              r.StartedAt,
		LatencyRatio:           r.latencyRatio,
		SlowStartFrom:          r.slowStart.from,
		Ejected:                h.ejected,
		FailsFast:              h.failsFast,
		MayHaveRestarted:       h.mayHaveRestarted,
		ProbeSuccesses:         h.probeSuccesses,
		ConsecutiveFaults:      h.consecutiveFaults,
		ConsecutiveRejections:  h.consecutiveRejections,
		ProbeBackoff:           h.probeBackoff,
		EjectedAt:              h.ejectedAt,
		NextProbe:              h.nextProbe,
		LastSuccess:            h.lastSuccess,
		RejectingUntil:         h.rejectingUntil,
		AvoidUntil:             h.avoidUntil,
		LastFailure:            h.lastFailure,
		LastReset:              h.lastReset,
		LastError:              h.lastError,
		ClassConsecutiveFaults: byClass(r.classHealth, func(h classHealth) int { return h.consecutiveFaults }),
		ClassExcludedUntil:     byClass(r.classHealth, func(h classHealth) time.Duration { return h.excludedUntil }),
		ClassLastSuccess:       byClass(r.classHealth, func(h classHealth) time.Duration { return h.lastSuccess }),
		ClassLastUnanswered:    byClass(r.classHealth, func(h classHealth) time.Duration { return h.lastUnanswered }),
	}
}

// Restore takes over what another Machine has learned of the classes and replicas that this one knows, so the endpoint
// list has to be passed to Step before, and of all shards of the checkpoint. It is for a Machine that has learned
// nothing yet. Figures of a replica that has restarted since are skipped, and so are lists of the wrong length and
// impossible latencies, ratios, rates, load factors and idle limits; counts and other instants are not checked. Not
// passed on are, among others, open queries, saved tokens, the retry budget's counts and idleBeforeReset.
func (m *Machine) Restore(c Checkpoint) {
	from := make([]int, len(m.classes.list)) // a class's index in the checkpoint; negative if it is missing
	for i, k := range m.classes.list {
		from[i] = slices.IndexFunc(c.Classes, func(saved ClassCheckpoint) bool { return saved.Name == k.Name })
		if from[i] >= 0 {
			k.restore(c.Classes[from[i]])
		}
	}
	if isRate(c.WarmedUpRate) && isRate(c.DemandRate) && isRate(c.Intervals) && isPositive(c.LoadFactor) {
		t := &m.traffic
		t.warmedUpRate, t.demandRate, t.intervals = c.WarmedUpRate, c.DemandRate, c.Intervals
		m.loadFactor = c.LoadFactor
	}
	if c.IdleLimit > 0 {
		m.idleConnections.limit = c.IdleLimit
	}
	for _, saved := range c.Replicas {
		if r := m.replicas.byID[saved.ID]; r != nil && saved.appliesTo(r, len(c.Classes)) {
			m.restoreReplica(r, saved, from)
		}
	}
	for _, saved := range c.Shards {
		if len(saved.Rates) == len(c.Classes) && !slices.ContainsFunc(saved.Rates, isInvalidRate) {
			m.shardOf(saved.Number).rates = reorder(saved.Rates, from)
		}
	}
	m.shares.dirty = true
}

func (c *class) restore(saved ClassCheckpoint) {
	if isPositive(saved.MeanLatency) {
		c.meanLatency = saved.MeanLatency
	}
	if isPositive(saved.MinService) {
		c.minService = saved.MinService
	}
	if slices.ContainsFunc(saved.Latencies, isInvalidLatency) {
		return
	}
	c.samples.count = copy(c.samples.values[:], saved.Latencies)
	c.updateQuantiles()
}

// appliesTo reports whether a checkpoint is of the replica's listed process or a later one, has a possible latency
// ratio, and has figures for each of the checkpoint's classes.
func (saved *ReplicaCheckpoint) appliesTo(r *replica, classes int) bool {
	return r.StartedAt <= saved.StartedAt && isPositive(saved.LatencyRatio) &&
		len(saved.ClassConsecutiveFaults) == classes && len(saved.ClassExcludedUntil) == classes &&
		len(saved.ClassLastSuccess) == classes && len(saved.ClassLastUnanswered) == classes
}

// restoreReplica takes over what was learned of a replica. Slow start begins without tokens, because the other Machine
// may still be sending.
func (m *Machine) restoreReplica(r *replica, saved ReplicaCheckpoint, from []int) {
	m.replicas.setEjected(r, saved.Ejected)
	r.latencyRatio = saved.LatencyRatio
	r.health = health{
		ejected:               saved.Ejected,
		ejectedAt:             saved.EjectedAt,
		probeSuccesses:        saved.ProbeSuccesses,
		probeBackoff:          saved.ProbeBackoff,
		nextProbe:             saved.NextProbe,
		consecutiveFaults:     saved.ConsecutiveFaults,
		consecutiveRejections: saved.ConsecutiveRejections,
		lastSuccess:           saved.LastSuccess,
		rejectingUntil:        saved.RejectingUntil,
		avoidUntil:            saved.AvoidUntil,
		failsFast:             saved.FailsFast,
		lastFailure:           saved.LastFailure,
		lastError:             saved.LastError,
		lastReset:             saved.LastReset,
		idleBeforeReset:       r.health.idleBeforeReset,
		mayHaveRestarted:      saved.MayHaveRestarted,
	}
	r.classHealth = reorder(saved.healthByClass(), from)
	r.slowStart.from = max(r.slowStart.from, saved.SlowStartFrom)
	r.slowStart.tokens, r.slowStart.updatedAt = 0, m.now
}

// isPositive reports whether a latency or a ratio is one that can have been learned.
func isPositive(x float64) bool { return x > 0 && !math.IsInf(x, 1) }

func isInvalidLatency(x float64) bool { return !isPositive(x) }

// isRate reports whether a rate is one that can have been learned.
func isRate(x float64) bool { return x == 0 || isPositive(x) }

func isInvalidRate(x float64) bool { return !isRate(x) }

// byClass returns one figure of a replica's health for each class.
func byClass[T any](list []classHealth, of func(classHealth) T) []T {
	figures := make([]T, 0, len(list))
	for _, h := range list {
		figures = append(figures, of(h))
	}
	return figures
}

// healthByClass returns a replica's health by class, from its lists of figures; appliesTo ensures that these have the
// same length.
func (saved *ReplicaCheckpoint) healthByClass() []classHealth {
	list := make([]classHealth, len(saved.ClassConsecutiveFaults))
	for i := range list {
		list[i] = classHealth{
			consecutiveFaults: saved.ClassConsecutiveFaults[i],
			excludedUntil:     saved.ClassExcludedUntil[i],
			lastSuccess:       saved.ClassLastSuccess[i],
			lastUnanswered:    saved.ClassLastUnanswered[i],
		}
	}
	return list
}
