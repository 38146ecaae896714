package core

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"harepass/internal/decide/scatter"
)

const maxIDLength = 128 // bytes of a query's id

// Errors of a query that cannot be served as it is. Their texts are sent to the client, as are those of
// InvalidPartError and of the errors of retry.Policy.Key.
var (
	ErrInvalidID     = errors.New("bad id")
	ErrDuplicateID   = errors.New("the id is taken")
	ErrUnknownClass  = errors.New("unknown class")
	ErrUnknownTenant = errors.New("unknown tenant")
	ErrNoTimeLeft    = errors.New("no time left")
	ErrNoParts       = errors.New("no parts")
)

// InvalidPartError reports what is wrong with the parts of a query. Its text is sent to the client.
type InvalidPartError struct {
	Problem PartProblem
	Shard   int     // UnknownShard, RepeatedShard
	Weight  float64 // InvalidWeight: weight of the part; InvalidWeightSum: sum over all parts
}

// PartProblem is a way in which the parts of a query can be invalid.
type PartProblem int

// The ways in which parts can be invalid.
const (
	UnknownShard     PartProblem = iota // the shard is negative or not below the number of shards
	RepeatedShard                       // two parts have the same shard
	InvalidWeight                       // a weight is not above 0 and at most 1, within tolerance
	InvalidWeightSum                    // the weights do not sum to 1, within tolerance
)

// Error returns the text that is sent to the client.
func (e *InvalidPartError) Error() string {
	switch e.Problem {
	case UnknownShard:
		return fmt.Sprintf("unknown shard %d", e.Shard)
	case RepeatedShard:
		return fmt.Sprintf("shard %d twice", e.Shard)
	case InvalidWeight:
		return fmt.Sprintf("weight %g", e.Weight)
	default:
		return fmt.Sprintf("weights sum to %g", e.Weight)
	}
}

// validate returns why a query cannot be served under the settings in force. It shortens the query's deadline to the
// limit of its class. Any goroutine may call it.
func (c *Coordinator) validate(q *Query) error {
	settings := c.inForce()
	class := settings.class(q.Class)
	switch now := c.cfg.Clock(); {
	case q.ID == "" || len(q.ID) > maxIDLength || strings.ContainsFunc(q.ID, invalidInID):
		return ErrInvalidID
	case class == nil:
		return ErrUnknownClass
	case !settings.servesTenant(q.Tenant):
		return ErrUnknownTenant
	case q.Deadline <= now:
		return ErrNoTimeLeft
	case len(q.Parts) == 0:
		return ErrNoParts
	default:
		q.Deadline = min(q.Deadline, now+class.Deadline)
	}
	if _, err := class.RetryPolicy().Key(q.IdempotencyKeys); err != nil {
		return err
	}
	return validateParts(q.Parts, settings.limits.Shards)
}

// validateParts returns an *InvalidPartError if the parts cannot form a query; shards is 0 if the number of shards is
// unknown.
func validateParts(parts []Part, shards int) error {
	sum, seen := 0.0, map[int]bool{}
	for _, p := range parts {
		switch {
		case p.Shard < 0 || shards > 0 && p.Shard >= shards:
			return &InvalidPartError{Problem: UnknownShard, Shard: p.Shard}
		case seen[p.Shard]:
			return &InvalidPartError{Problem: RepeatedShard, Shard: p.Shard}
		case !(p.Weight > 0 && p.Weight <= 1+scatter.WeightTolerance): // NaN is invalid too
			return &InvalidPartError{Problem: InvalidWeight, Weight: p.Weight}
		}
		seen[p.Shard] = true
		sum += p.Weight
	}
	if !(math.Abs(sum-1) <= scatter.WeightTolerance) {
		return &InvalidPartError{Problem: InvalidWeightSum, Weight: sum}
	}
	return nil
}

// invalidInID reports whether a character is not allowed in a query id, because some wire format could not carry it
// there. A dot separates the id from the shard.
func invalidInID(r rune) bool {
	return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' && r != '_'
}

// servesTenant reports whether queries of a tenant are served. If the settings name no tenants, all are.
func (s *settingsInForce) servesTenant(name string) bool {
	return name == "" || len(s.Tenants) == 0 ||
		slices.ContainsFunc(s.Tenants, func(t scatter.Tenant) bool { return t.Name == name })
}
