package scaletest

import (
	"context"
	"encoding/json"
	"sync"

	"harepass/internal/decide/failover"
	"harepass/internal/decide/versionlog"
	"harepass/internal/distribution"
	"harepass/internal/test/fake"
)

// watchAuthority follows the authority directly until ctx ends and records the index that it gave to each publication.
func (f *fleet) watchAuthority(ctx context.Context) {
	follow := func(resource distribution.Path, record func(versionlog.Entry)) {
		distribution.New(distribution.Config{
			Path: resource, Sources: []failover.Source{{Address: f.authority.address}},
			Apply: func(u distribution.Update) {
				for _, entry := range u.Entries {
					record(entry)
				}
			},
		}).Run(ctx)
	}
	var following sync.WaitGroup
	following.Go(func() { follow(distribution.Endpoints, f.recordEndpointIndex) })
	following.Go(func() { follow(distribution.Settings, f.recordSettingsIndex) })
	following.Wait()
}

// recordEndpointIndex records the index of an endpoint's change or removal.
func (f *fleet) recordEndpointIndex(entry versionlog.Entry) {
	if entry.Removed {
		f.publisher.recordRemovalIndex(entry.Name, entry.Index)
		return
	}
	var endpoint fake.Endpoint
	if json.Unmarshal(entry.Body, &endpoint) == nil {
		f.publisher.recordIndex(List, endpoint.SinceMS, entry.Index)
	}
}

// recordSettingsIndex records the index of a version of the settings.
func (f *fleet) recordSettingsIndex(entry versionlog.Entry) {
	if settings, limits, err := parseSettings(entry); err == nil {
		number, _ := decodeSettingsNumber(settings.RetryAfter, limits.KeepAlive)
		f.publisher.recordIndex(Settings, number, entry.Index)
	}
}
