package scatter

import (
	"fmt"
	"time"

	"harepass/internal/decide/retry"
)

// Settings configures a Machine. Instants and durations are both time.Duration; an instant is a reading of any clock
// that only advances, with an origin of the caller's choosing.
type Settings struct {
	Coordinators int // coordinators that share the fleet of replicas, this one included; at least 1
	Ordinal      int // this coordinator's number among them, from 1; 0 if it is not known
	Classes      []Class
	Tenants      []Tenant // none if traffic has no quotas

	// RingSize is the number of positions on the ring. Shard s is held by the replicas of the positions s, s+1, up to
	// s+ReplicationFactor-1, modulo RingSize.
	RingSize          int
	ReplicationFactor int // from 1 to RingSize

	PartsPerCall int           // parts that one call can carry; at least 1
	TickInterval time.Duration // shortest time between two steps; 0 if they may follow at once

	MaxAttempts  int           // for each part, the first included; at least 1
	Hedging      bool          // two attempts of a part may be outstanding at once
	Cancellation bool          // attempts can be cancelled
	RetryAfter   time.Duration // how long rejected clients are asked to wait; 0 for no advice

	// OverQuotaWeight is the priority weight of traffic beyond a tenant's quota, as a share of the usual one; 1 if
	// quotas have no effect. The Machine only reads whether it is below 1.
	OverQuotaWeight float64

	Subscribe  bool          // the endpoint list has to be requested
	ListMaxAge time.Duration // how long the endpoint list is valid without a subscription
	// DrainGrace is how long a replica may still be sent to after the notice that it drains or is removed. A Machine
	// sends nothing from the notice on; the lease of the endpoint list is derived from it.
	DrainGrace time.Duration

	SlowStart   SlowStart
	RetryBudget *RetryBudget // nil if retries are not bounded
}

// Class is the settings of one class of queries.
type Class struct {
	Name             string
	LatencyObjective time.Duration // answers within this earn their full priority weight
	Deadline         time.Duration // how long a client waits over all of its own retries; at least LatencyObjective
	PriorityWeight   float64       // for load shedding before queries reach the Machine, which does not read it
	LateWeight       float64       // share of the priority weight of answers between LatencyObjective and Deadline
	Idempotency      Idempotency
	DedupWindow      time.Duration // for Keyed: how long repeats are dropped, from the first attempt on
	CompleteFraction float64       // share of the parts' weight that makes an answer complete; in (0, 1]
	MinFraction      float64       // least share of the weight for any answer; in [0, 1]
	SecondRoundParts int           // parts of a second round, which follows the answer to the first; 0 for none
}

// RetryPolicy returns the policy that bounds retries of a part and determines their idempotency key.
func (c Class) RetryPolicy() retry.Policy {
	return retry.Policy{Idempotency: c.Idempotency, DedupWindow: c.DedupWindow}
}

// Idempotency is how a class handles parts that run more than once.
type Idempotency = retry.Idempotency

// The kinds of Idempotency.
const (
	Idempotent    = retry.Idempotent
	Keyed         = retry.Keyed
	NonIdempotent = retry.NonIdempotent
)

// Tenant is a customer with a share of the traffic.
type Tenant struct {
	Name  string
	Quota float64 // queries per second over all coordinators
}

// SlowStart describes replicas whose process has just started. A replica that is sent more than OverloadFactor times
// its present capacity for the time of Window fails.
type SlowStart struct {
	InitialCapacity float64       // share of its capacity that a starting replica has at least; in [0, 1]
	Duration        time.Duration // time until it has all of it; 0 for no slow start
	OverloadFactor  float64       // 0 for no slow start
	Window          time.Duration
}

// RetryBudget bounds the attempts beyond the first of each part. In any Window there may be MinRetries, plus Ratio
// times the number of queries and parts that arrived.
type RetryBudget struct {
	MinRetries int
	Ratio      float64
	Window     time.Duration
}

// SettingError reports a setting that no coordinator can have.
type SettingError struct {
	Field string // its path in Settings
	Value any
}

// Error names the field and its value.
func (e *SettingError) Error() string {
	return fmt.Sprintf("scatter: impossible setting %s: %v", e.Field, e.Value)
}

// validate returns a *SettingError for the first setting that no coordinator can have.
func (s Settings) validate() error {
	impossible := func(field string, v any) error { return &SettingError{field, v} }
	switch {
	case s.Coordinators < 1:
		return impossible("Coordinators", s.Coordinators)
	case s.RingSize < 1:
		return impossible("RingSize", s.RingSize)
	case s.ReplicationFactor < 1 || s.ReplicationFactor > s.RingSize:
		return impossible("ReplicationFactor", s.ReplicationFactor)
	case s.PartsPerCall < 1:
		return impossible("PartsPerCall", s.PartsPerCall)
	case s.MaxAttempts < 1:
		return impossible("MaxAttempts", s.MaxAttempts)
	case len(s.Classes) == 0:
		return impossible("Classes", "none")
	case s.SlowStart.InitialCapacity < 0 || s.SlowStart.InitialCapacity > 1:
		return impossible("SlowStart.InitialCapacity", s.SlowStart.InitialCapacity)
	case s.TickInterval < 0:
		return impossible("TickInterval", s.TickInterval)
	}
	if b := s.RetryBudget; b != nil && (b.Ratio < 0 || b.MinRetries < 0 || b.Window <= 0) {
		return impossible("RetryBudget", *b)
	}
	for i, c := range s.Classes {
		if field, v, ok := c.impossible(); !ok {
			return impossible(fmt.Sprintf("Classes[%d].%s", i, field), v)
		}
	}
	return nil
}

// impossible returns the first field that no class can have; ok is true if there is none.
func (c Class) impossible() (field string, value any, ok bool) {
	switch {
	case c.LatencyObjective <= 0:
		return "LatencyObjective", c.LatencyObjective, false
	case c.Deadline < c.LatencyObjective:
		return "Deadline", c.Deadline, false
	case c.CompleteFraction <= 0 || c.CompleteFraction > 1:
		return "CompleteFraction", c.CompleteFraction, false
	case c.MinFraction < 0 || c.MinFraction > 1:
		return "MinFraction", c.MinFraction, false
	case c.SecondRoundParts < 0:
		return "SecondRoundParts", c.SecondRoundParts, false
	case c.Idempotency == Keyed && c.DedupWindow < 0:
		return "DedupWindow", c.DedupWindow, false
	}
	return "", nil, true
}
