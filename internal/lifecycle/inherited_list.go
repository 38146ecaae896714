package lifecycle

import (
	"encoding/json"
	"errors"
	"log/slog"

	"harepass/internal/core"
	"harepass/internal/logmsg"
	"harepass/internal/platform"
)

// chooseFirstList returns the endpoint list that the process starts with, and the address of the discovery service that
// it came from. It prefers the list that another process stored, because that one can have changes made after the
// platform's file was written. It returns the configuration's list if no list is stored, if the stored one cannot be
// read, or if both come from the same discovery service and the configuration's version is later. Versions of two
// discovery services cannot be compared. If it returns the stored list, that list also replaces KnownEndpoints.
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

// readStoredList decodes an endpoint list from a state file, both in discovery's form and as the core's endpoints.
func readStoredList(data []byte) (platform.List, []core.Endpoint, error) {
	var list platform.List
	err := json.Unmarshal(data, &list)
	endpoints, invalid := list.CoreEndpoints()
	return list, endpoints, errors.Join(err, invalid)
}
