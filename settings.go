package harepass

import "slices"

// This file is what an Aggregator keeps when its settings change. No decision is here.

// reclass makes classes and siblings those of the settings. One that is as it was goes on; one that is altered is a new one that
// knows what the old one learned. What is no more named stays for the queries under way, which keep their class, and is
// left out at the next change after them. The limit on attempts belongs to a class too: a lower one holds for all.
func (a *Aggregator) reclass() {
	s := a.set
	used := map[*class]bool{}
	for _, q := range a.open {
		used[q.cls] = true
	}
	for _, p := range a.parts {
		used[p.q.cls] = true
	}
	before, byName := a.classes, a.byClass
	a.classes, a.byClass = nil, map[string]*class{}
	var from []int // where each class's entries in lists by class were; below 0 for nowhere
	add := func(k *class, was int) {
		a.classes, from = append(a.classes, k), append(from, was)
	}
	for _, c := range s.Classes {
		k, old := newClass(c, s.MaxAttempts), byName[c.Name]
		switch {
		case old == nil:
			add(k, -1)
		case old.Class == c && s.MaxAttempts <= old.most:
			k = old
			add(k, k.idx)
		default:
			k.seen, k.seenN, k.base, k.work = old.seen, old.seenN, old.base, old.work
			add(k, old.idx)
		}
		a.byClass[c.Name] = k
	}
	for _, k := range before {
		if used[k] && !slices.Contains(a.classes, k) {
			add(k, k.idx)
		}
	}
	for i, k := range a.classes {
		k.idx, k.most = i, min(k.most, s.MaxAttempts)
	}
	if !inPlace(from, len(before)) {
		a.reorderByClass(from)
	}
	if a.apart {
		a.relateAll()
	}
}

// inPlace tells whether each of n entries stays where it was and none is new.
func inPlace(from []int, n int) bool {
	for i, was := range from {
		if was != i {
			return false
		}
	}
	return len(from) == n
}

// reorderByClass gives all lists by class a new order.
func (a *Aggregator) reorderByClass(from []int) {
	for _, r := range a.replicas {
		r.faults, r.barred = reorder(r.faults, from), reorder(r.barred, from)
		r.okAt, r.lostAt = reorder(r.okAt, from), reorder(r.lostAt, from)
	}
	for _, h := range a.shards {
		h.counts, h.rates, h.shares = reorder(h.counts, from), reorder(h.rates, from), reorder(h.shares, from)
	}
}

// reorder gives a list by class in a new order.
func reorder[T any](list []T, from []int) []T {
	next := make([]T, len(from))
	for i, j := range from {
		if j >= 0 {
			next[i] = list[j]
		}
	}
	return next
}

// with is a tenant at another rate, with what it had saved; one that is new has all of its room.
func (t *tenant) with(rate, room float64) *tenant {
	if t == nil {
		return &tenant{rate: rate, room: room, tokens: room}
	}
	return &tenant{rate: rate, room: room, tokens: min(room, t.tokens), at: t.at}
}
