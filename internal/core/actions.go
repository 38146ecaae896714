package core

import (
	"harepass"
)

// This file does what the module asks for.

// perform does what the module asks for, in order; sends to one node leave together as calls.
func (o *Owner) perform(actions []harepass.Action) {
	calls := map[string][]*Attempt{}
	var order []string
	for _, act := range actions {
		switch a := act.(type) {
		case harepass.Send:
			if at := o.send(a); at != nil {
				if len(calls[a.Replica]) == 0 {
					order = append(order, a.Replica)
				}
				calls[a.Replica] = append(calls[a.Replica], at)
			}
		case harepass.CallOff:
			if p := o.parts[a.Part]; p != nil && a.Attempt < len(p.attempts) {
				o.abandon(p.attempts[a.Attempt], harepass.Cancelled)
			}
		case harepass.Answer:
			if q := o.queries[a.Query]; q != nil {
				ans := Answer{Whole: a.Whole, Values: make([][]byte, len(q.parts)), Pruned: make([]bool, len(q.parts))}
				for i, p := range q.parts {
					ans.Values[i], ans.Pruned[i] = p.value, p.pruned
				}
				o.finish(q, ans)
			}
			o.letOut(o.firsts[a.Query])
		case harepass.Refuse:
			if q := o.queries[a.Query]; q != nil {
				refusedByModule.Inc()
				o.finish(q, Answer{Verdict: Refused, RetryIn: a.RetryIn})
			}
			o.letOut(o.firsts[a.Query])
		case harepass.Fail:
			if q := o.queries[a.Query]; q != nil {
				o.finish(q, Answer{Verdict: Failed})
			}
			o.letOut(o.firsts[a.Query])
		case harepass.Disconnect:
			if c := o.cfg.Callers[o.nodes[a.Replica].Scheme]; c != nil {
				c.Disconnect(a.Replica)
			}
		case harepass.Subscribe:
			o.cfg.Subscribe()
			o.asked = true
			o.presume()
		case harepass.WakeIn:
			o.deadlines.remove(o.wake)
			o.wake = o.deadlines.add(o.now+a.In, func() { o.events = append(o.events, harepass.Woken{}) })
		}
	}
	for _, id := range order {
		node, list := o.nodes[id], calls[id]
		for len(list) > 0 {
			n := min(len(list), max(1, o.set().CallBatch))
			o.cfg.Callers[node.Scheme].Call(node.Node, list[:n:n])
			list = list[n:]
		}
	}
}
