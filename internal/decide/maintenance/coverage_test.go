package maintenance

import (
	"slices"
	"testing"
	"time"

	"harepass/internal/decide/scatter"
)

// On a ring of three positions, each shard is held at its own position and the next one. The third position has no
// ready replica. A shard whose ready holders are all out for maintenance is reported. A shard is not reported merely
// because a holder is not listed as Ready.
func TestUncoveredShards(t *testing.T) {
	list := []scatter.Replica{
		{ID: "a", RingPosition: 0}, {ID: "b", RingPosition: 1}, {ID: "c", RingPosition: 2, State: scatter.Removed},
	}
	r := Register{}
	for _, tc := range []struct {
		out  string
		want []int
	}{{"", nil}, {"a", []int{2}}, {"b", []int{0, 1, 2}}} {
		if tc.out != "" {
			r.Apply(tc.out, Entry{Out: true, At: time.Second})
		}
		if got := r.UncoveredShards(list, 3, 2, 3); !slices.Equal(got, tc.want) {
			t.Errorf("after taking %q out: uncovered shards %v", tc.out, got)
		}
	}
}
