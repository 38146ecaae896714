package scaletest

import (
	"slices"
	"sync"
	"time"

	"harepass/internal/test/fake"
)

// Resource is a resource whose versions are distributed to the members.
type Resource string

// Resources that a run publishes.
const (
	List     Resource = "list" // the endpoint list
	Settings Resource = "settings"
)

// Publication is a change of a resource as its source published it.
type Publication struct {
	Resource Resource
	// Sequence identifies a change of its resource and increases with each change. The endpoint list carries it as
	// since_ms of the changed endpoints, the settings as the number of their version.
	Sequence      int64
	At            time.Time
	EndpointNames []string // the endpoints that changed; empty for the settings
	Status        string   // new status of these endpoints; empty for the settings
	Index         int64    // assigned to the change by the authority; 0 until it is known
}

// publisher changes the endpoint list and records all changes of both resources. Its methods are safe for concurrent
// use.
type publisher struct {
	registry *Registry

	mu              sync.Mutex
	endpoints       []fake.Endpoint        // in their current state
	lastSequence    int64                  // of the endpoint list
	publications    []*Publication         // in publishing order
	endpointChanges map[int64]*Publication // by sequence number
	settingsChanges map[int64]*Publication // by sequence number
}

// newPublisher returns a publisher whose registry initially lists the given endpoints.
func newPublisher(endpoints []fake.Endpoint) *publisher {
	return &publisher{
		registry: NewRegistry(endpoints), endpoints: endpoints,
		endpointChanges: map[int64]*Publication{}, settingsChanges: map[int64]*Publication{},
	}
}

// publishStatus publishes a status with a new start time for the endpoints with the given numbers, all at one instant.
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

// publishSettings records a version of the settings as published. Call it just before the authority reads the version.
func (p *publisher) publishSettings(number int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	publication := &Publication{Resource: Settings, Sequence: number, At: time.Now()}
	p.publications = append(p.publications, publication)
	p.settingsChanges[number] = publication
}

// status returns the current status of the endpoint with the given number.
func (p *publisher) status(number int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[number].Status
}

// recordIndex records the index that the authority gave to an entry of the change with the given sequence number. The
// change itself gets the highest index of its entries.
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

// recordRemovalIndex records the index that the authority gave to the removal of an endpoint. A removal carries no
// sequence number, so it is matched to the latest change that terminated an endpoint with this name.
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

// published returns a copy of all changes so far, in publishing order.
func (p *publisher) published() []Publication {
	p.mu.Lock()
	defer p.mu.Unlock()
	var publications []Publication
	for _, publication := range p.publications {
		publications = append(publications, *publication)
	}
	return publications
}
