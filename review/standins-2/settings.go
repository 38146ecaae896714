package main

// classSettings is one class of the settings.
type classSettings struct {
	name        string
	objectiveMS int
	deadlineMS  int
	repeat      string
	windowMS    int
	need, floor float64
	lateWorth   float64
}

// The classes of the first deployment, and the keyed class of the second.
var (
	routeLookup  = classSettings{"route-lookup", 1500, 3000, "free", 0, 1, 1, 0.3}
	hazardReport = classSettings{"hazard-report", 1500, 5000, "single_shot", 0, 1, 1, 0.1}
	conditions   = classSettings{"conditions-summary", 1500, 5000, "free", 0, 1, 0.7, 0.3}
	claimUpdate  = classSettings{"claim-update", 2000, 4000, "guarded", 4000, 1, 1, 0.3}
)

// ring is the placement of shards.
type ring struct{ positions, reach, shards int }

// settings returns the settings of a small deployment, with the names and units of the wire page.
func settings(r ring, classes ...classSettings) map[string]any {
	var list []any
	var need, floor, partial, second []float64
	for _, c := range classes {
		k := map[string]any{"name": c.name, "objective_us": c.objectiveMS * 1000, "hard_limit_us": c.deadlineMS * 1000,
			"importance": 1.0, "late_worth": c.lateWorth, "repeat": c.repeat, "stream": false}
		if c.repeat == "guarded" {
			k["group"], k["dedup_window_us"] = "all", c.windowMS*1000
		}
		list = append(list, k)
		need, floor, partial, second = append(need, c.need), append(floor, c.floor), append(partial, 0.9), append(second, 0)
	}
	return map[string]any{
		"balancers": 1, "me": 0, "round_us": 5000, "discovery": "ask", "over_share_worth": 0.05, "zone": "a",
		"worth_by": "request", "weights": "nominal", "layer": 0, "layers": []string{"nodes"}, "kinds": []string{"k"},
		"failure_domains": []string{"a"}, "family": "fanout",
		"caps": map[string]any{"cancel": true, "connect_timeout_us": 250000, "cpu_us_per_request": 0,
			"cpu_us_per_s": 400000, "keepalive_us": 30000000, "max_retry_after_us": 1000000, "most_tries": 4,
			"open_cap": 368, "peers": false, "probes": true, "retry_after": true, "second_copies": false,
			"streams_per_conn": 32},
		"clients":   map[string]any{"marks_retry": false},
		"report":    map[string]any{"fields": []string{"qps"}, "how": "pull"},
		"classes":   list,
		"customers": []any{map[string]any{"name": "kitakaze", "quota_per_s": 100.0, "share": 1.0}},
		"family_info": map[string]any{"batch": 1, "call_cost_us": 0, "class_partial": partial, "floor_by_class": floor,
			"need_by_class": need, "second_step": second, "positions": r.positions, "reach": r.reach, "shards": r.shards,
			"warm_keys": false},
		"rules": map[string]any{"answer_slack_us": 20000, "ask_every_us": 10000000, "fall_multiple": 2.5,
			"fall_us": 1500000, "start_capacity": 0.21, "stop_sending_within_us": 1000000, "warm_within_us": 18000000},
	}
}

// platformConfig returns the file that PROXY_CONFIG names.
func platformConfig(name, listen, discovery string, settings map[string]any) map[string]any {
	return map[string]any{"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"index": 0, "snapshot": true, "endpoints": []any{}},
		"settings": settings}
}
