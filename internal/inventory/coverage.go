package inventory

import (
	"fmt"

	"harepass/internal/core"
)

// ShardWithoutHolderError reports an inventory that leaves shards without a holder.
type ShardWithoutHolderError struct {
	File   string
	Shards []int // at least one, in order
}

// maxNamedShards is how many shards a ShardWithoutHolderError names.
const maxNamedShards = 10

// Error names the file and the first of the shards.
func (e *ShardWithoutHolderError) Error() string {
	named, rest := e.Shards, ""
	if omitted := len(named) - maxNamedShards; omitted > 0 {
		named, rest = named[:maxNamedShards], fmt.Sprintf(" and %d more", omitted)
	}
	return fmt.Sprintf("%s: no host holds the sections %v%s", e.File, named, rest)
}

// checkCoverage returns a *ShardWithoutHolderError if the hosts leave a shard without a holder.
func (r *Reader) checkCoverage(hosts []Host) error {
	if r.ShardsWithoutHolder == nil {
		return nil
	}
	var endpoints []core.Endpoint
	for _, h := range hosts {
		endpoints = append(endpoints, h.endpoint())
	}
	if missing := r.ShardsWithoutHolder(endpoints); len(missing) > 0 {
		return &ShardWithoutHolderError{r.Path, missing}
	}
	return nil
}
