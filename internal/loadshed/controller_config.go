package loadshed

import (
	"math/rand/v2"

	"harepass/internal/decide/overload"
	"harepass/internal/decide/scatter"
)

// typicalParts is the assumed number of parts of a query until arrivals of its class have shown it.
const typicalParts = 4

// ControllerConfig returns the part of a controller's configuration that follows from the settings: the classes, and
// the tenants with this coordinator's share of their quotas. The caller adds the wait target, cores, memory and longest
// Retry-After, which depend on the installation.
func ControllerConfig(s scatter.Settings) overload.Config {
	cfg := overload.Config{Rand: rand.Float64}
	for _, c := range s.Classes {
		cfg.Classes = append(cfg.Classes, overload.Class{
			Name: c.Name, PriorityWeight: c.PriorityWeight, NonIdempotent: c.Idempotency != scatter.Idempotent,
			TypicalParts: typicalParts,
		})
	}
	for _, t := range s.Tenants {
		quota := t.Quota / float64(max(1, s.Coordinators))
		cfg.Tenants = append(cfg.Tenants, overload.Tenant{Name: t.Name, Quota: quota})
	}
	return cfg
}
