package kit

import "encoding/json"

// Settings are those of a small deployment, as the site sapporo-maps has them. Discovery is asked.
const Settings = `{
  "balancers": 2, "me": 0, "round_us": 5000, "discovery": "ask", "over_share_worth": 0.05, "family": "fanout",
  "caps": {"cancel": true, "connect_timeout_us": 250000, "cpu_us_per_s": 587157, "keepalive_us": 30000000,
    "max_retry_after_us": 1000000, "most_tries": 4, "open_cap": 368, "peers": false, "probes": true,
    "retry_after": true, "second_copies": false, "streams_per_conn": 32},
  "classes": [
    {"name": "route-lookup", "objective_us": 1500000, "hard_limit_us": 3000000, "importance": 1.0, "late_worth": 0.3,
      "repeat": "free", "dedup_window_us": 5000000, "group": "all", "stream": false},
    {"name": "hazard-report", "objective_us": 1500000, "hard_limit_us": 5000000, "importance": 2.0, "late_worth": 0.1,
      "repeat": "single_shot", "dedup_window_us": 5000000, "group": "all", "stream": false},
    {"name": "conditions-summary", "objective_us": 1500000, "hard_limit_us": 5000000, "importance": 3.0,
      "late_worth": 0.3, "repeat": "free", "dedup_window_us": 5000000, "group": "all", "stream": false}],
  "customers": [{"name": "kitakaze", "quota_per_s": 40.0, "share": 0.42},
    {"name": "shirakaba-yama", "quota_per_s": 40.0, "share": 0.41},
    {"name": "momiji-dake", "quota_per_s": 15.0, "share": 0.17}],
  "family_info": {"batch": 1, "call_cost_us": 0, "class_partial": [0.9, 0.9, 0.9], "floor_by_class": [1.0, 1.0, 0.7],
    "need_by_class": [1.0, 1.0, 1.0], "second_step": [0, 0, 0], "positions": 3, "reach": 3, "shards": 6,
    "warm_keys": false},
  "report": {"fields": ["qps"], "how": "pull"},
  "rules": {"answer_slack_us": 20000, "ask_every_us": 10000000, "fall_multiple": 2.5, "fall_us": 1500000,
    "start_capacity": 0.21, "stop_sending_within_us": 1000000, "warm_within_us": 18000000},
  "weights": "nominal", "worth_by": "work", "zone": "sapporo-room"
}`

// Config returns a coordinator's configuration as the platform writes it.
func Config(listen, discovery, operator, settings string, known List) string {
	m := map[string]any{"name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known,
		"settings": json.RawMessage(settings)}
	if operator != "" {
		m["operator"] = operator
	}
	text, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return string(text)
}
