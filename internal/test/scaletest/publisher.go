package scaletest

import (
	"slices"
	"sync"
	"time"

	"harepass/internal/test/fake"
)

// Resource is what is distributed.
type Resource string

// The resources.
const (
	List     Resource = "list"
	Settings Resource = "settings"
)

// Publication is a change as its source had it. Its mark tells it from all others of its resource and rises with each: the
// entries' since_ms, or the number that a version of the settings carries.
type Publication struct {
	Resource Resource
	Mark     int64
	At       time.Time
	Names    []string // the entries that changed
	Status   string   // that they have since
	Index    int64    // the authority's; 0 until it is known
}

// publisher changes the list and keeps what it published.
type publisher struct {
	registry *Registry

	mu      sync.Mutex
	entries []fake.Endpoint // as they are now
	mark    int64
	all     []*Publication
	byMark  map[int64]*Publication // of the list
	numbers map[int64]*Publication // of the settings
}

func newPublisher(entries []fake.Endpoint) *publisher {
	return &publisher{registry: NewRegistry(entries), entries: entries, byMark: map[int64]*Publication{}, numbers: map[int64]*Publication{}}
}

// change gives some entries a status, in one instant.
func (p *publisher) change(status string, which ...int) *Publication {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.mark = max(now.UnixMilli(), p.mark+1)
	pub := &Publication{Resource: List, Mark: p.mark, At: now, Status: status}
	var changed []fake.Endpoint
	for _, i := range which {
		e := &p.entries[i]
		e.Status, e.SinceMS = status, p.mark
		changed = append(changed, *e)
		pub.Names = append(pub.Names, e.Name)
	}
	p.all, p.byMark[p.mark] = append(p.all, pub), pub
	p.registry.Put(changed...)
	return pub
}

// status is an entry's now.
func (p *publisher) status(i int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.entries[i].Status
}

// settings notes a version of the settings that is about to be handed to the authority.
func (p *publisher) settings(number int64) *Publication {
	p.mu.Lock()
	defer p.mu.Unlock()
	pub := &Publication{Resource: Settings, Mark: number, At: time.Now()}
	p.all, p.numbers[number] = append(p.all, pub), pub
	return pub
}

// seen notes which index the authority gave to a mark.
func (p *publisher) seen(r Resource, mark, index int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	marks := p.byMark
	if r == Settings {
		marks = p.numbers
	}
	if pub := marks[mark]; pub != nil {
		pub.Index = max(pub.Index, index)
	}
}

// seenGone notes which index the authority gave to an entry's removal, of which nothing but the name is told.
func (p *publisher) seenGone(name string, index int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.all) - 1; i >= 0; i-- {
		if pub := p.all[i]; pub.Status == fake.StatusTerminated && slices.Contains(pub.Names, name) {
			pub.Index = max(pub.Index, index)
			return
		}
	}
}

// published lists what has been published so far.
func (p *publisher) published() []Publication {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Publication
	for _, pub := range p.all {
		list = append(list, *pub)
	}
	return list
}
