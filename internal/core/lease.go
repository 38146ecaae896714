package core

import (
	"time"

	"harepass"
)

// This file is what the owner does with the lease on the list of the source that the module asked: once it is over, nothing
// new is sent by that list, since nodes may be leaving that the coordinator has not heard of.

// Leased tells until when a source's list holds, on the owner's clock. Without a word a list holds for good.
func (o *Owner) Leased(source string, expires time.Duration) { o.post(leased{source, expires}) }

type leased struct {
	source  string
	expires time.Duration
}

func (m leased) apply(o *Owner) {
	if m.source != o.cfg.Asked {
		return
	}
	o.deadlines.remove(o.leaseEnd)
	o.leaseEnd = o.deadlines.add(m.expires, o.expire)
	if o.expired && m.expires > o.now {
		o.expired, o.onlyLeased = false, false
		o.cfg.Log.Info("list confirmed: sending again")
		o.retellNodes()
	}
}

// expire stops what is sent by the list. The module hears that its nodes drain, until the list is confirmed.
func (o *Owner) expire() {
	o.leaseEnd = nil
	if o.expired {
		return
	}
	o.expired, o.onlyLeased = true, true
	for _, n := range o.nodes {
		o.onlyLeased = o.onlyLeased && n.source == o.cfg.Asked
	}
	o.cfg.Log.Warn("list expired: nothing new is sent until discovery confirms it", "queries_open", len(o.queries))
	listsExpired.Inc()
	o.retellNodes()
	o.withholdLeaving()
}

// retellNodes has the module hear the whole list as it is to be taken now.
func (o *Owner) retellNodes() {
	clear(o.ables)
	o.events = append(o.events, harepass.ListReceived{Scope: harepass.ListRemembered, Replicas: o.replicas()})
}

// told is a node as the module is to hear of it: by the list, by its lease, and by who has been taken out by hand.
func (o *Owner) told(n listedNode) harepass.Replica {
	if o.expired && n.source == o.cfg.Asked && n.State == harepass.Ready {
		n.State = harepass.Draining
	}
	return o.book.Told(n.Replica)
}

// unservable tells whether nothing can be sent for want of a list that holds.
func (o *Owner) unservable() bool { return o.expired && o.onlyLeased }
