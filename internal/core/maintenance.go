package core

import (
	"errors"
	"slices"

	"harepass"
	"harepass/internal/decide/maintenance"
)

// This file is the owner's part in nodes that operators have taken out: the module hears of the list as the book tells it.

// Maintenance brings the book as it is from now on. It does not wait, be the owner's queue as long as it may.
func (o *Owner) Maintenance(b maintenance.Book) {
	o.books.Store(&b)
	select {
	case o.news <- struct{}{}:
	default:
	}
}

// Serving tells why the owner does not take queries; for any goroutine.
func (o *Owner) Serving() error {
	if p := o.Phase(); p != Ready {
		return errors.New(p.String())
	}
	return nil
}

// heed takes over the latest book, before all else in a turn.
func (o *Owner) heed() {
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
func (o *Owner) warnBare() {
	var cells []int
	for id, e := range o.book {
		if n, listed := o.nodes[id]; listed && e.Out {
			cells = append(cells, n.Cell)
		}
	}
	var list []harepass.Replica
	for _, id := range o.cells.near(cells) {
		list = append(list, o.nodes[id].Replica)
	}
	bare := o.book.Bare(list, o.set().Cells, o.set().Reach, o.set().limits.Shards)
	if !slices.Equal(bare, o.bare) {
		o.bare = bare
		o.cfg.Log.Warn("sections whose nodes are all out by hand", "sections", bare, "do", "call one of their nodes back")
	}
}
