package scaletest

import (
	"slices"
	"sync"
	"time"

	"harepass/internal/test/fake"
)

// Resource is what is distributed in versions.
type Resource string

// The resources.
const (
	List     Resource = "list" // the endpoint list
	Settings Resource = "settings"
)

// Publication is a change of a resource as its source published it.
type Publication struct {
	Resource Resource
	// Sequence tells a change from all others of its resource and rises with each. The endpoint list carries it as the
	// changed endpoints' since_ms, the settings as the number of their version.
	Sequence      int64
	At            time.Time
	EndpointNames []string // the endpoints that changed; empty for the settings
	Status        string   // of these endpoints from here on; empty for the settings
	Index         int64    // which the authority gave to the change; 0 until that is known
}

// publisher changes the endpoint list and records all changes of both resources. Its methods may be called by any
// goroutine.
type publisher struct {
	registry *Registry

	mu              sync.Mutex
	endpoints       []fake.Endpoint        // in their present state
	lastSequence    int64                  // of the endpoint list
	publications    []*Publication         // in the order of publishing
	endpointChanges map[int64]*Publication // by sequence number
	settingsChanges map[int64]*Publication // by sequence number
}

// newPublisher returns a publisher whose registry has some endpoints, as its first version.
func newPublisher(endpoints []fake.Endpoint) *publisher {
	return &publisher{
		registry: NewRegistry(endpoints), endpoints: endpoints,
		endpointChanges: map[int64]*Publication{}, settingsChanges: map[int64]*Publication{},
	}
}

// publishStatus gives some endpoints, by number, a status and a new start, all at one instant.
func (p *publisher) publishStatus(status string, numbers ...int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.lastSequence = max(now.UnixMilli(), p.lastSequence+1)
	publication := &Publication{Resource: List, Sequence: p.lastSequence, At: now, Status: status}
	var changed []fake.Endpoint
	for _, i := range numbers {
		endpoint := &p.endpoints[i]
		endpoint.Status, endpoint.SinceMS = status, p.lastSequence
		changed = append(changed, *endpoint)
		publication.EndpointNames = append(publication.EndpointNames, endpoint.Name)
	}
	p.publications = append(p.publications, publication)
	p.endpointChanges[p.lastSequence] = publication
	p.registry.Put(changed...)
}

// publishSettings records a version of the settings that is about to be given to the authority.
func (p *publisher) publishSettings(number int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	publication := &Publication{Resource: Settings, Sequence: number, At: time.Now()}
	p.publications = append(p.publications, publication)
	p.settingsChanges[number] = publication
}

// status returns the present status of an endpoint, by number.
func (p *publisher) status(number int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[number].Status
}

// recordIndex notes the index that the authority gave to an entry of the change with a sequence number. The change
// itself has the highest index of its entries.
func (p *publisher) recordIndex(resource Resource, sequence, index int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changes := p.endpointChanges
	if resource == Settings {
		changes = p.settingsChanges
	}
	if publication := changes[sequence]; publication != nil {
		publication.Index = max(publication.Index, index)
	}
}

// recordRemovalIndex notes the index that the authority gave to the removal of an endpoint. A removal carries no
// sequence number, so it belongs to the latest change that ended an endpoint of its name.
func (p *publisher) recordRemovalIndex(name string, index int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, publication := range slices.Backward(p.publications) {
		if publication.Status == fake.StatusTerminated && slices.Contains(publication.EndpointNames, name) {
			publication.Index = max(publication.Index, index)
			return
		}
	}
}

// published returns the changes so far, in the order of publishing.
func (p *publisher) published() []Publication {
	p.mu.Lock()
	defer p.mu.Unlock()
	var publications []Publication
	for _, publication := range p.publications {
		publications = append(publications, *publication)
	}
	return publications
}
