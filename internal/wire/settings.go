package wire

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"harepass"
)

var repeats = map[string]harepass.Repeat{
	"free": harepass.Free, "guarded": harepass.Guarded, "single_shot": harepass.SingleShot}

// settings reads the facts of a provision line. Unknown keys are skipped; keys that a site leaves
// out keep the zero value, except where zero would mean something else.
func settings(f *fields) harepass.Settings {
	s := harepass.Settings{
		Roots:          f.optNum("balancers", 1),
		Me:             f.optNum("me", -1) + 1,
		Cells:          f.num("family_info.positions"),
		Reach:          f.num("family_info.reach"),
		CallBatch:      f.optNum("family_info.batch", 1),
		Turn:           f.optUS("round_us"),
		MaxAttempts:    f.num("caps.most_tries"),
		SecondCopies:   f.flag("caps.second_copies"),
		Cancel:         f.flag("caps.cancel"),
		OverShareWorth: f.optFloat("over_share_worth", 1),
		Subscribe:      f.get("discovery") == "ask",
		ListMaxAge:     f.optUS("rules.ask_every_us"),
		DrainGrace:     f.optUS("rules.stop_sending_within_us"),
		Cold: harepass.Cold{
			Start:      f.optFloat("rules.start_capacity", 1),
			WarmWithin: f.optUS("rules.warm_within_us"),
			Multiple:   f.optFloat("rules.fall_multiple", 0),
			Window:     f.optUS("rules.fall_us"),
		},
	}
	if f.get("rules.extra_ratio") != "" {
		s.Budget = &harepass.Budget{Free: int(f.optFloat("rules.budget_free", 0)),
			Ratio: f.float("rules.extra_ratio"), Window: f.us("rules.extra_window_us")}
	}
	if advice := f.optUS("caps.max_retry_after_us"); f.flag("caps.retry_after") {
		s.RetryAdvice = advice
	}
	n := f.num("classes.count")
	for i := 0; i < n && f.err == nil; i++ {
		p := fmt.Sprintf("classes.%d.", i)
		repeat, ok := repeats[f.str(p+"repeat")]
		if !ok {
			f.bad(p+"repeat", "is unknown")
		}
		if slices.ContainsFunc(s.Classes, func(c harepass.Class) bool { return c.Name == f.vals[p+"name"] }) {
			f.bad(p+"name", "stands twice")
		}
		s.Classes = append(s.Classes, harepass.Class{
			Name: f.str(p + "name"), Aim: f.us(p + "objective_us"), Deadline: f.us(p + "hard_limit_us"),
			Worth: f.optFloat(p+"importance", 1), LateWorth: f.optFloat(p+"late_worth", 0),
			Repeat: repeat, Window: f.optUS(p + "dedup_window_us"),
			Need: f.item("family_info.need_by_class", i, 1), Floor: f.item("family_info.floor_by_class", i, 1),
			SecondStep: int(f.item("family_info.second_step", i, 0)),
		})
	}
	n = f.optNum("customers.count", 0)
	for i := 0; i < n && f.err == nil; i++ {
		p := fmt.Sprintf("customers.%d.", i)
		s.Tenants = append(s.Tenants, harepass.Tenant{
			Name: f.str(p + "name"), Quota: f.optFloat(p+"quota_per_s", 0)})
	}
	return s
}

func (f *fields) flag(key string) bool {
	switch v := f.vals[key]; v {
	case "", "false", "0":
		return false
	case "true", "1":
		return true
	default:
		f.bad(key, fmt.Sprintf("is neither true nor false: %q", v))
		return false
	}
}

func (f *fields) optFloat(key string, def float64) float64 {
	if f.vals[key] == "" {
		return def
	}
	return f.float(key)
}

// item is entry i of a comma-joined list of numbers, or def where the list is shorter.
func (f *fields) item(key string, i int, def float64) float64 {
	items := strings.Split(f.vals[key], ",")
	if i >= len(items) || items[i] == "" {
		return def
	}
	x, err := strconv.ParseFloat(items[i], 64)
	if err != nil {
		f.bad(key, fmt.Sprintf("is no list of numbers: %q", f.vals[key]))
	}
	return x
}
