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
	Resource      Resource
	Sequence      int64
	At            time.Time
	EndpointNames []string // the entries that changed
	Status        string   // that they have since
	Index         int64    // the authority's; 0 until it is known
}

// publisher changes the list and keeps what it published.
type publisher struct {
	registry *Registry

	mu              sync.Mutex
	endpoints       []fake.Endpoint // as they are now
	lastSequence    int64
	publications    []*Publication
	endpointChanges map[int64]*Publication // of the list
	settingsChanges map[int64]*Publication // of the settings
}

func newPublisher(entries []fake.Endpoint) *publisher {
	return &publisher{registry: NewRegistry(entries), endpoints: entries, endpointChanges: map[int64]*Publication{}, settingsChanges: map[int64]*Publication{}}
}

// change gives some entries a status, in one instant.
func (p *publisher) publishStatus(status string, which ...int) *Publication {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.lastSequence = max(now.UnixMilli(), p.lastSequence+1)
	pub := &Publication{Resource: List, Sequence: p.lastSequence, At: now, Status: status}
	var changed []fake.Endpoint
	for _, i := range which {
		e := &p.endpoints[i]
		e.Status, e.SinceMS = status, p.lastSequence
		changed = append(changed, *e)
		pub.EndpointNames = append(pub.EndpointNames, e.Name)
	}
	p.publications, p.endpointChanges[p.lastSequence] = append(p.publications, pub), pub
	p.registry.Put(changed...)
	return pub
}

// status is an entry's now.
func (p *publisher) status(i int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[i].Status
}

// settings notes a version of the settings that is about to be handed to the authority.
func (p *publisher) publishSettings(number int64) *Publication {
	p.mu.Lock()
	defer p.mu.Unlock()
	pub := &Publication{Resource: Settings, Sequence: number, At: time.Now()}
	p.publications, p.settingsChanges[number] = append(p.publications, pub), pub
	return pub
}

// seen notes which index the authority gave to a mark.
func (p *publisher) recordIndex(r Resource, mark, index int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	marks := p.endpointChanges
	if r == Settings {
		marks = p.settingsChanges
	}
	if pub := marks[mark]; pub != nil {
		pub.Index = max(pub.Index, index)
	}
}

// seenGone notes which index the authority gave to an entry's removal, of which nothing but the name is told.
func (p *publisher) recordRemovalIndex(name string, index int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.publications) - 1; i >= 0; i-- {
		if pub := p.publications[i]; pub.Status == fake.StatusTerminated && slices.Contains(pub.EndpointNames, name) {
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
	for _, pub := range p.publications {
		list = append(list, *pub)
	}
	return list
}
