package placement

import (
	"slices"
	"testing"
)

// An endpoint list that leaves a shard without a holder must be noticed whatever the numbers of its replicas are: the
// ring wraps around, and there may be more shards than positions.
func TestShardsWithoutHolder(t *testing.T) {
	for _, tc := range []struct {
		ring      Ring
		positions []int
		shards    int
		want      []int
	}{
		{Ring{3, 3}, []int{2}, 6, nil},
		{Ring{3, 1}, []int{0, 1}, 6, []int{2, 5}},
		{Ring{12, 3}, []int{0, 3, 6, 9}, 12, nil},
		{Ring{12, 3}, []int{0, 3, 6}, 12, []int{7, 8, 9}},
		{Ring{12, 3}, []int{-12, 15, 6, 21}, 12, nil},
		{Ring{4, 2}, nil, 3, []int{0, 1, 2}},
		{Ring{4, 2}, nil, 0, nil},
	} {
		if got := tc.ring.ShardsWithoutHolder(tc.positions, tc.shards); !slices.Equal(got, tc.want) {
			t.Errorf("%+v, positions %v, %d shards: %v without a holder, want %v", tc.ring, tc.positions, tc.shards, got,
				tc.want)
		}
	}
}

// EachShardAt is the inverse of HeldAt.
func TestEachShardAtAgreesWithHeldAt(t *testing.T) {
	const shards = 11
	ring := Ring{Size: 5, ReplicationFactor: 2}
	for position := range ring.Size {
		held := map[int]bool{}
		ring.EachShardAt(position, shards, func(shard int) { held[shard] = true })
		for shard := range shards {
			if want := ring.HeldAt(map[int]bool{position: true}, shard); held[shard] != want {
				t.Errorf("position %d, shard %d: listed %v, held %v", position, shard, held[shard], want)
			}
		}
	}
}
