package core

import (
	"harepass/internal/decide/scatter"
)

// This file does what the module asks for.

// perform does what the module asks for, in order; sends to one node leave together as calls.
func (o *Coordinator) perform(actions []scatter.Action) {
	calls := map[string][]*Attempt{}
	var order []string
	for _, act := range actions {
		switch a := act.(type) {
		case scatter.Send:
			if at := o.send(a); at != nil {
				if len(calls[a.Replica]) == 0 {
					order = append(order, a.Replica)
				}
				calls[a.Replica] = append(calls[a.Replica], at)
			}
		case scatter.CancelAttempt:
			if p := o.parts[a.Part]; p != nil && a.Attempt < len(p.attempts) {
				o.abandon(p.attempts[a.Attempt], scatter.Cancelled)
			}
		case scatter.Answer:
			if q := o.queries[a.Query]; q != nil {
				ans := Answer{Complete: a.Complete, Values: make([][]byte, len(q.parts)), Pruned: make([]bool, len(q.parts))}
				for i, p := range q.parts {
					ans.Values[i], ans.Pruned[i] = p.value, p.pruned
				}
				o.finish(q, ans)
			}
			o.letOut(o.firsts[a.Query])
		case scatter.Reject:
			if q := o.queries[a.Query]; q != nil {
				refusedByModule.Inc()
				o.finish(q, Answer{Status: Rejected, RetryAfter: a.RetryAfter})
			}
			o.letOut(o.firsts[a.Query])
		case scatter.Fail:
			if q := o.queries[a.Query]; q != nil {
				o.finish(q, Answer{Status: Failed})
			}
			o.letOut(o.firsts[a.Query])
		case scatter.CloseIdleConnections:
			if c := o.cfg.Callers[o.nodes[a.Replica].Scheme]; c != nil {
				c.CloseIdleConnections(a.Replica)
			}
		case scatter.Subscribe:
			o.cfg.Subscribe()
			o.asked = true
			o.presume()
		case scatter.SetTimer:
			o.deadlines.remove(o.wake)
			o.wake = o.deadlines.add(o.now+a.After, func() { o.events = append(o.events, scatter.TimerFired{}) })
		}
	}
	for _, id := range order {
		node, list := o.nodes[id], calls[id]
		for len(list) > 0 {
			n := min(len(list), max(1, o.set().PartsPerCall))
			o.cfg.Callers[node.Scheme].Call(node.Endpoint, list[:n:n])
			list = list[n:]
		}
	}
}
