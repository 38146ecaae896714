package core

import (
	"errors"
	"slices"

	"harepass/internal/decide/maintenance"
	"harepass/internal/decide/scatter"
)

// This file is the owner's part in nodes that operators have taken out: the module hears of the list as the book tells it.

// SetMaintenance brings the book as it is from now on. It does not wait, be the owner's queue as long as it may.
func (o *Coordinator) SetMaintenance(b maintenance.Register) {
	o.books.Store(&b)
	select {
	case o.news <- struct{}{}:
	default:
	}
}

// CheckReady tells why the owner does not take queries; for any goroutine.
func (o *Coordinator) CheckReady() error {
	if p := o.Phase(); p != Ready {
		return errors.New(p.String())
	}
	return nil
}

// heed takes over the latest book, before all else in a turn.
func (o *Coordinator) heed() {
	b := o.books.Load()
	if b == nil || b == o.heeded {
		return
	}
	o.heeded, o.book = b, *b
	o.retellNodes()
	o.withholdLeaving()
	o.warnBare()
}

// warnBare logs which sections have lost all holders by hand, when that changes. They stay lost: the rule holds.
func (o *Coordinator) warnBare() {
	var cells []int
	for id, e := range o.book {
		if n, listed := o.nodes[id]; listed && e.Out {
			cells = append(cells, n.RingPosition)
		}
	}
	var list []scatter.Replica
	for _, id := range o.cells.near(cells) {
		list = append(list, o.nodes[id].Replica)
	}
	bare := o.book.UncoveredShards(list, o.set().RingSize, o.set().ReplicationFactor, o.set().limits.Shards)
	if !slices.Equal(bare, o.bare) {
		o.bare = bare
		o.cfg.Log.Warn("sections whose nodes are all out by hand", "sections", bare, "do", "call one of their nodes back")
	}
}
