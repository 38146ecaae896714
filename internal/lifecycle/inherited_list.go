package lifecycle

import (
	"encoding/json"
	"errors"
	"log/slog"

	"harepass/internal/core"
	"harepass/internal/logmsg"
	"harepass/internal/platform"
)

// chooseFirstList returns the endpoint list to begin with, and the address of the discovery that it came from. It is
// the list that another process has stored: that can hold changes which came after the platform's file was written.
// The configuration's list is taken where both are of one discovery and the configuration's version is the later one;
// versions of two discoveries cannot be compared. It is also taken where no list is stored, or the stored one cannot
// be read. A stored list also replaces KnownEndpoints.
func (p *process) chooseFirstList() (list platform.List, discovery string) {
	configured := p.Platform.KnownList
	if p.store == nil {
		return configured, p.Platform.Discovery
	}
	data, discovery := p.store.InheritedList()
	if len(data) == 0 {
		return configured, p.Platform.Discovery
	}
	stored, endpoints, err := readStoredList(data)
	if err != nil {
		slog.Warn("stored endpoint list rejected", logmsg.KeyError, err)
		return configured, p.Platform.Discovery
	}
	if discovery == p.Platform.Discovery && configured.Index > stored.Index {
		slog.Info("stored endpoint list outdated", "version", stored.Index, "configured_version", configured.Index)
		return configured, discovery
	}
	p.KnownEndpoints = endpoints
	slog.Info(logmsg.EndpointListTakenOver, "endpoints", len(endpoints), "version", stored.Index)
	return stored, discovery
}

// readStoredList reads an endpoint list from stored state.
func readStoredList(data []byte) (platform.List, []core.Endpoint, error) {
	var list platform.List
	err := json.Unmarshal(data, &list)
	endpoints, invalid := list.CoreEndpoints()
	return list, endpoints, errors.Join(err, invalid)
}
