package scatter

import "slices"

// reconfigureRing applies the settings to the ring and to all siblings. A replica that changes its ring position
// between two calls keeps its old siblings until the next call.
func (m *Machine) reconfigureRing() {
	t, s := &m.replicas, m.settings
	if t.ring.size != s.RingSize || t.ring.replicationFactor != s.ReplicationFactor {
		m.replaceRing()
	}
	if t.siblingsStale {
		t.updateSiblings()
	}
}

// replaceRing builds a new ring from the settings.
func (m *Machine) replaceRing() {
	t, s := &m.replicas, m.settings
	t.ring, t.siblingsStale = newRing(s.RingSize, s.ReplicationFactor), true
	for _, r := range t.all {
		t.ring.add(r)
	}
	for _, s := range m.shards.inUse {
		t.ring.addShard(s)
	}
}

// reconfigureClasses applies the settings to the classes. An unchanged class is kept. A changed class is replaced by a
// new one that takes over what the old one has learned. A class that is no longer in the settings is kept for the
// queries that still use it, and removed at the first change of settings after them.
func (m *Machine) reconfigureClasses() {
	s, before := m.settings, m.classes
	used := m.classesInUse()
	m.classes = classTable{byName: map[string]*class{}}
	var from []int // the index that each class had; negative if it is new
	for _, c := range s.Classes {
		k, oldIndex := before.byName[c.Name].with(c, s.MaxAttempts)
		m.classes.list, from = append(m.classes.list, k), append(from, oldIndex)
		m.classes.byName[c.Name] = k
	}
	for _, k := range before.list {
		if used[k] && !slices.Contains(m.classes.list, k) {
			m.classes.list, from = append(m.classes.list, k), append(from, k.index)
		}
	}
	for i, k := range m.classes.list { // a lower limit on attempts applies to all
		k.index, k.maxAttempts = i, min(k.maxAttempts, s.MaxAttempts)
	}
	if !inPlace(from, len(before.list)) {
		m.reorderByClass(from)
	}
	m.classes.allowsPartial = slices.ContainsFunc(s.Classes, func(c Class) bool {
		return c.MinFraction < c.CompleteFraction
	})
	m.classes.tightest = slices.MinFunc(s.Classes, func(x, y Class) int {
		return int(x.LatencyObjective - y.LatencyObjective)
	}).LatencyObjective
}

// classesInUse returns the classes of open queries and of parts in progress.
func (m *Machine) classesInUse() map[*class]bool {
	used := map[*class]bool{}
	for _, q := range m.queries.open {
		used[q.class] = true
	}
	for _, p := range m.queries.parts {
		used[p.query.class] = true
	}
	return used
}

// with returns a class with other settings, and the index that it had, negative if c is nil and the class is new. A
// higher limit on attempts does not apply to queries that are already open.
func (c *class) with(settings Class, maxAttempts int) (_ *class, oldIndex int) {
	if c == nil {
		return newClass(settings, maxAttempts), -1
	}
	if c.Class == settings && maxAttempts <= c.maxAttempts {
		return c, c.index
	}
	next := newClass(settings, maxAttempts)
	next.samples, next.meanLatency, next.minService = c.samples, c.meanLatency, c.minService
	return next, c.index
}

// inPlace reports whether each of n entries keeps its index and none is new.
func inPlace(from []int, n int) bool {
	for i, oldIndex := range from {
		if oldIndex != i {
			return false
		}
	}
	return len(from) == n
}

// reorderByClass reorders all lists by class.
func (m *Machine) reorderByClass(from []int) {
	for _, r := range m.replicas.all {
		r.classHealth = reorder(r.classHealth, from)
	}
	for _, s := range m.shards.byNumber {
		s.arrived, s.rates, s.shares = reorder(s.arrived, from), reorder(s.rates, from), reorder(s.shares, from)
	}
}

// reorder returns a list in a new order: from holds the old index of each entry, negative for a new one.
func reorder[T any](list []T, from []int) []T {
	next := make([]T, len(from))
	for i, j := range from {
		if j >= 0 {
			next[i] = list[j]
		}
	}
	return next
}

// reconfigureQuotas sets each tenant's quota to this coordinator's part of the quota in the settings.
func (m *Machine) reconfigureQuotas() {
	quotas := map[string]*quota{}
	for _, t := range m.settings.Tenants {
		quotas[t.Name] = m.quotas[t.Name].withRate(t.Quota / float64(m.settings.Coordinators))
	}
	m.quotas = quotas
}
