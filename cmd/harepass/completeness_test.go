package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"harepass/internal/logmsg"
	"harepass/internal/test/fake"
)

// The complete fraction of a class is 0.67, and one replica fails every part. An answer from shards with a weight of at
// least 0.67 is complete, and a lower weight gives no answer.
func TestCompleteFractionOfParts(t *testing.T) {
	t.Parallel()
	p := newLimitedProcess(t, 96, 3)
	p.replicas[2].Script = func(int, int) fake.Reply { return fake.Reply{Kind: fake.Fail} } // only holder of shard 2
	p.adaptSettings = func(settings map[string]any) {
		family := settings["family_info"].(map[string]any)
		family["reach"], family["positions"], family["shards"] = 1, 3, 3
		family["need_by_class"], family["floor_by_class"] = []any{1.0, 1.0, 0.67, 1.0}, []any{1.0, 1.0, 0.67, 1.0}
	}
	l := listen(t)
	go fake.ServeDiscovery(l, func() string { return string(p.listing(1, inService)) })
	p.listMode = "push"
	p.start(p.listing(1, inService), l.Addr().String())
	eventually(t, "the process listens", func() bool { return p.logged(logmsg.ListenerOpened) })
	for name, tc := range map[string]struct {
		weights  [3]float64 // of shards 0, 1 and 2
		complete bool
	}{
		"0.67 is in":  {[3]float64{0.34, 0.33, 0.33}, true},
		"0.8 is in":   {[3]float64{0.5, 0.3, 0.2}, true},
		"0.66 is in":  {[3]float64{0.33, 0.33, 0.34}, false},
		"none but 2":  {[3]float64{0, 0, 1}, false},
		"nearly none": {[3]float64{0.1, 0.1, 0.8}, false},
	} {
		var parts []string
		for shard, weight := range tc.weights {
			if weight > 0 {
				parts = append(parts, fmt.Sprintf(`{"slice":%d,"mass":%g}`, shard, weight))
			}
		}
		body := `{"slices":[` + strings.Join(parts, ",") + `],"filter":"f"}`
		status, answer := post(t, "http://"+p.address+"/api", body, map[string]string{
			"X-Call-Id":    strings.NewReplacer(" ", "-", ".", "").Replace(name),
			"X-Call-Class": "conditions-summary", "X-Caller": "kitakaze", "X-Budget": "2900m"})
		var a struct {
			Entire bool
			Items  []struct{ Slice int }
		}
		if status == 200 {
			if err := json.Unmarshal([]byte(answer), &a); err != nil {
				t.Fatal(err)
			}
		}
		complete := status == 200 && a.Entire && len(a.Items) == 2
		if complete != tc.complete || status == 200 && !tc.complete {
			t.Errorf("%s: status %d, answer %s", name, status, answer)
		}
	}
}
