package wire

import (
	"fmt"
	"slices"

	"harepass/internal/decide/scatter"
)

// idempotencies maps the repeat field of a class.
var idempotencies = map[string]scatter.Idempotency{
	"free":        scatter.Idempotent,
	"guarded":     scatter.Keyed,
	"single_shot": scatter.NonIdempotent,
}

// settings reads the settings of a provision line. It ignores unknown keys. An optional key that a site omits yields
// zero, except where zero would have a different meaning.
func settings(f *fields) scatter.Settings {
	s := scatter.Settings{
		Coordinators:      f.optionalInt("balancers", 1),
		Ordinal:           f.optionalInt("me", -1) + 1, // on the wire ordinals begin at 0
		RingSize:          f.int("family_info.positions"),
		ReplicationFactor: f.int("family_info.reach"),
		PartsPerCall:      f.optionalInt("family_info.batch", 1),
		TickInterval:      f.optionalDuration("round_us"),
		MaxAttempts:       f.int("caps.most_tries"),
		Hedging:           f.bool("caps.second_copies"),
		Cancellation:      f.bool("caps.cancel"),
		OverQuotaWeight:   f.optionalFloat("over_share_worth", 1),
		Subscribe:         f.optionalString("discovery") == "ask",
		ListMaxAge:        f.optionalDuration("rules.ask_every_us"),
		DrainGrace:        f.optionalDuration("rules.stop_sending_within_us"),
		SlowStart:         slowStart(f),
		RetryBudget:       retryBudget(f),
	}
	if retryAfter := f.optionalDuration("caps.max_retry_after_us"); f.bool("caps.retry_after") {
		s.RetryAfter = retryAfter
	}
	n := f.int("classes.count")
	for i := 0; i < n && f.err == nil; i++ {
		s.Classes = append(s.Classes, class(f, i, s.Classes))
	}
	n = f.optionalInt("customers.count", 0)
	for i := 0; i < n && f.err == nil; i++ {
		prefix := fmt.Sprintf("customers.%d.", i)
		s.Tenants = append(s.Tenants, scatter.Tenant{
			Name:  f.string(prefix + "name"),
			Quota: f.optionalFloat(prefix+"quota_per_s", 0),
		})
	}
	return s
}

func slowStart(f *fields) scatter.SlowStart {
	return scatter.SlowStart{
		InitialCapacity: f.optionalFloat("rules.start_capacity", 1),
		Duration:        f.optionalDuration("rules.warm_within_us"),
		OverloadFactor:  f.optionalFloat("rules.fall_multiple", 0),
		Window:          f.optionalDuration("rules.fall_us"),
	}
}

// retryBudget returns nil if the settings do not limit retries.
func retryBudget(f *fields) *scatter.RetryBudget {
	if !f.has("rules.extra_ratio") {
		return nil
	}
	return &scatter.RetryBudget{
		MinRetries: int(f.optionalFloat("rules.budget_free", 0)),
		Ratio:      f.float("rules.extra_ratio"),
		Window:     f.duration("rules.extra_window_us"),
	}
}

// class reads class i. Its name must differ from those of the earlier classes.
func class(f *fields, i int, earlier []scatter.Class) scatter.Class {
	prefix := fmt.Sprintf("classes.%d.", i)
	idempotency, ok := idempotencies[f.string(prefix+"repeat")]
	if !ok {
		f.fail(prefix+"repeat", "is unknown")
	}
	name := f.optionalString(prefix + "name")
	if slices.ContainsFunc(earlier, func(c scatter.Class) bool { return c.Name == name }) {
		f.fail(prefix+"name", "stands twice")
	}
	return scatter.Class{
		Name:             f.string(prefix + "name"),
		LatencyObjective: f.duration(prefix + "objective_us"),
		Deadline:         f.duration(prefix + "hard_limit_us"),
		PriorityWeight:   f.optionalFloat(prefix+"importance", 1),
		LateWeight:       f.optionalFloat(prefix+"late_worth", 0),
		Idempotency:      idempotency,
		DedupWindow:      f.optionalDuration(prefix + "dedup_window_us"),
		CompleteFraction: f.item("family_info.need_by_class", i, 1),
		MinFraction:      f.item("family_info.floor_by_class", i, 1),
		SecondRoundParts: int(f.item("family_info.second_step", i, 0)),
	}
}
