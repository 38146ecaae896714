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

// watchAuthority follows the authority itself until ctx ends, to learn which index it gave to what was published.
func (f *fleet) watchAuthority(ctx context.Context) {
	follow := func(resource distribution.Path, seen func(versionlog.Entry)) {
		distribution.New(distribution.Config{Path: resource, Sources: []failover.Source{{Address: f.authority.address}},
			Apply: func(u distribution.Update) {
				for _, e := range u.Entries {
					seen(e)
				}
			}}).Run(ctx)
	}
	var both sync.WaitGroup
	both.Go(func() { follow(distribution.Endpoints, f.recordEndpointIndex) })
	both.Go(func() { follow(distribution.Settings, f.recordSettingsIndex) })
	both.Wait()
}

// seenEntry notes the index of a changed entry.
func (f *fleet) recordEndpointIndex(e versionlog.Entry) {
	if e.Removed {
		f.publisher.recordRemovalIndex(e.Name, e.Index)
		return
	}
	var entry fake.Endpoint
	if json.Unmarshal(e.Body, &entry) == nil {
		f.publisher.recordIndex(List, entry.SinceMS, e.Index)
	}
}

// seenSettings notes the index of a version of the settings.
func (f *fleet) recordSettingsIndex(e versionlog.Entry) {
	if settings, caps, err := readSettings(e); err == nil {
		number, _ := decodeSettingsNumber(settings.RetryAfter, caps.KeepAlive)
		f.publisher.recordIndex(Settings, number, e.Index)
	}
}
