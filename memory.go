package harepass

import (
	"math"
	"slices"
	"time"
)

// This file hands what an Aggregator has learned on to another one of the same root that begins on the same clock: a
// new version of the program would else meet cold, ill and crowded replicas as if for the first time. It copies; no
// decision is here.

// Memory is what is handed on. Instants are on the root's clock, rates and latencies in seconds.
type Memory struct {
	At        time.Duration   `json:"at"`
	Warm      float64         `json:"warm"`
	Asked     float64         `json:"asked"`
	Refills   float64         `json:"refills"`
	Strain    float64         `json:"strain"`
	IdleLimit time.Duration   `json:"idle_limit"`
	Classes   []ClassMemory   `json:"classes"`
	Replicas  []ReplicaMemory `json:"replicas"`
	Shards    []ShardMemory   `json:"shards"`
}

// ClassMemory is what was learned of a class.
type ClassMemory struct {
	Name string    `json:"name"`
	Base float64   `json:"base"`
	Work float64   `json:"work"`
	Seen []float64 `json:"seen"`
}

// ReplicaMemory is what was learned of a replica. Lists are by class, as in Memory.
type ReplicaMemory struct {
	ID        string          `json:"id"`
	Since     time.Duration   `json:"since"` // of the process that this was learned of
	Ratio     float64         `json:"ratio"`
	ColdFrom  time.Duration   `json:"cold_from,omitempty"`
	Suspect   bool            `json:"suspect,omitempty"`
	Failing   bool            `json:"failing,omitempty"`
	Restarted bool            `json:"restarted,omitempty"`
	Good      int             `json:"good,omitempty"`
	Errors    int             `json:"errors,omitempty"`
	Fulls     int             `json:"fulls,omitempty"`
	Pause     time.Duration   `json:"pause,omitempty"`
	SuspectAt time.Duration   `json:"suspect_at,omitempty"`
	TrialAt   time.Duration   `json:"trial_at,omitempty"`
	LastOK    time.Duration   `json:"last_ok,omitempty"`
	FullUntil time.Duration   `json:"full_until,omitempty"`
	ShunUntil time.Duration   `json:"shun_until,omitempty"`
	FailedAt  time.Duration   `json:"failed_at,omitempty"`
	ResetAt   time.Duration   `json:"reset_at,omitempty"`
	ErrorAt   time.Duration   `json:"error_at,omitempty"`
	Faults    []int           `json:"faults,omitempty"`
	Barred    []time.Duration `json:"barred,omitempty"`
	OKAt      []time.Duration `json:"ok_at,omitempty"`
	LostAt    []time.Duration `json:"lost_at,omitempty"`
}

// ShardMemory is a shard's traffic by class.
type ShardMemory struct {
	No    int       `json:"no"`
	Rates []float64 `json:"rates"`
}

// Recall is what the Aggregator has learned; the caller may keep it.
func (a *Aggregator) Recall() Memory {
	m := Memory{At: a.now, Warm: a.warmRate, Asked: a.askedRate, Refills: a.refills, Strain: a.strain, IdleLimit: a.idleLimit}
	for _, c := range a.classes {
		m.Classes = append(m.Classes, ClassMemory{Name: c.Name, Base: c.base, Work: c.work, Seen: slices.Clone(c.seen[:min(c.seenN, seenSize)])})
	}
	for _, r := range a.replicas {
		m.Replicas = append(m.Replicas, ReplicaMemory{ID: r.ID, Since: r.Since, Ratio: r.ratio, ColdFrom: r.coldFrom,
			Suspect: r.suspect, Failing: r.failing, Restarted: r.restarted, Good: r.good, Errors: r.errors, Fulls: r.fulls, Pause: r.pause,
			SuspectAt: r.suspectAt, TrialAt: r.trialAt, LastOK: r.lastOK, FullUntil: r.fullUntil, ShunUntil: r.shunUntil,
			FailedAt: r.failedAt, ResetAt: r.resetAt, ErrorAt: r.errorAt, Faults: slices.Clone(r.faults), Barred: slices.Clone(r.barred),
			OKAt: slices.Clone(r.okAt), LostAt: slices.Clone(r.lostAt)})
	}
	for _, s := range a.touched {
		s.decay(a.decays)
		m.Shards = append(m.Shards, ShardMemory{No: s.no, Rates: slices.Clone(s.rates)})
	}
	return m
}

// Remember takes over what another Aggregator had learned of the classes and replicas that this one knows; it is for one
// that has learned nothing yet. A replica that has been started since is not the one that was known. Nothing of what
// may be sent to a cold one is saved up: the other one may still be sending.
func (a *Aggregator) Remember(m Memory) {
	from := make([]int, len(a.classes)) // where a class stands in the memory
	for i, c := range a.classes {
		from[i] = slices.IndexFunc(m.Classes, func(k ClassMemory) bool { return k.Name == c.Name })
		if from[i] < 0 {
			continue
		}
		k := m.Classes[from[i]]
		if sound(k.Base) {
			c.base = k.Base
		}
		if sound(k.Work) {
			c.work = k.Work
		}
		if !slices.ContainsFunc(k.Seen, func(x float64) bool { return !sound(x) }) {
			c.seenN = copy(c.seen[:], k.Seen)
			c.measure()
		}
	}
	if rate(m.Warm) && rate(m.Asked) && rate(m.Refills) && sound(m.Strain) {
		a.warmRate, a.askedRate, a.refills, a.strain = m.Warm, m.Asked, m.Refills, m.Strain
	}
	if m.IdleLimit > 0 {
		a.idleLimit = m.IdleLimit
	}
	for _, k := range m.Replicas {
		r := a.byID[k.ID]
		if r == nil || r.Since > k.Since || !sound(k.Ratio) || !lengths(len(m.Classes), len(k.Faults), len(k.Barred), len(k.OKAt), len(k.LostAt)) {
			continue
		}
		a.setSuspect(r, k.Suspect)
		r.ratio, r.failing, r.restarted = k.Ratio, k.Failing, k.Restarted
		r.good, r.errors, r.fulls, r.pause = k.Good, k.Errors, k.Fulls, k.Pause
		r.suspectAt, r.trialAt, r.lastOK, r.fullUntil, r.shunUntil = k.SuspectAt, k.TrialAt, k.LastOK, k.FullUntil, k.ShunUntil
		r.failedAt, r.resetAt, r.errorAt = k.FailedAt, k.ResetAt, k.ErrorAt
		r.faults, r.barred = reorder(k.Faults, from), reorder(k.Barred, from)
		r.okAt, r.lostAt = reorder(k.OKAt, from), reorder(k.LostAt, from)
		r.coldFrom = max(r.coldFrom, k.ColdFrom)
		r.coldTokens, r.coldAt = 0, a.now
	}
	for _, k := range m.Shards {
		if len(k.Rates) == len(m.Classes) && !slices.ContainsFunc(k.Rates, func(x float64) bool { return !rate(x) }) {
			a.shardOf(k.No).rates = reorder(k.Rates, from)
		}
	}
	a.dirty = true
}

// sound tells whether a latency or ratio could have been learned, and rate whether a rate could.
func sound(x float64) bool { return x > 0 && !math.IsInf(x, 1) }
func rate(x float64) bool  { return x == 0 || sound(x) }

func lengths(n int, of ...int) bool {
	return !slices.ContainsFunc(of, func(l int) bool { return l != n })
}
