package maintenance

import (
	"slices"
	"testing"
	"time"

	"harepass/internal/decide/scatter"
)

// Of three ring positions, each shard is held by its own and the next one; no replica stands ready at the third. A
// shard whose holders are all out for maintenance is reported; one that lacks a holder by the list alone is not.
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
			t.Errorf("%s out as well: %v", tc.out, got)
		}
	}
}
