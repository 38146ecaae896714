package loadshed

import (
	"math/rand/v2"

	"harepass/internal/decide/overload"
	"harepass/internal/decide/scatter"
)

// typicalParts is how many parts a query is assumed to have until arrivals of its class have shown it.
const typicalParts = 4

// ControllerConfig returns a controller's configuration as far as the settings give it: the classes, and the tenants
// with this coordinator's share of their quotas. The wait target, cores, memory and longest Retry-After belong to the
// installation and are left to the caller.
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
