package core

import (
	"time"

	"harepass/internal/decide/scatter"
)

// This file is what the owner does with the lease on the list of the source that the module asked: once it is over, nothing
// new is sent by that list, since nodes may be leaving that the coordinator has not heard of.

// SetListExpiry tells until when a source's list holds, on the owner's clock. Without a word a list holds for good.
func (o *Coordinator) SetListExpiry(source string, expires time.Duration) {
	o.post(leased{source, expires})
}

type leased struct {
	source  string
	expires time.Duration
}

func (m leased) apply(o *Coordinator) {
	if m.source != o.cfg.PolledSource {
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
func (o *Coordinator) expire() {
	o.leaseEnd = nil
	if o.expired {
		return
	}
	o.expired, o.onlyLeased = true, true
	for _, n := range o.nodes {
		o.onlyLeased = o.onlyLeased && n.source == o.cfg.PolledSource
	}
	o.cfg.Log.Warn("list expired: nothing new is sent until discovery confirms it", "queries_open", len(o.queries))
	listsExpired.Inc()
	o.retellNodes()
	o.withholdLeaving()
}

// retellNodes has the module hear the whole list as it is to be taken now.
func (o *Coordinator) retellNodes() {
	clear(o.ables)
	o.events = append(o.events, scatter.EndpointUpdate{Kind: scatter.CachedUpdate, Replicas: o.replicas()})
}

// told is a node as the module is to hear of it: by the list, by its lease, and by who has been taken out by hand.
func (o *Coordinator) told(n listedNode) scatter.Replica {
	if o.expired && n.source == o.cfg.PolledSource && n.State == scatter.Ready {
		n.State = scatter.Draining
	}
	return o.book.Effective(n.Replica)
}

// unservable tells whether nothing can be sent for want of a list that holds.
func (o *Coordinator) unservable() bool { return o.expired && o.onlyLeased }
