package lifecycle

import (
	"encoding/json"
	"log/slog"

	"harepass/internal/logmsg"
	"harepass/internal/platform"
)

// firstList is the endpoint list that a process starts with.
type firstList struct {
	platform.List
	service   string               // address of the discovery service that the list came from
	inherited bool                 // the list is another process's
	record    *platform.ListRecord // of that process; nil if it has none
}

// chooseFirstList returns the endpoint list that the process starts with. It prefers the list of another process,
// because that one can have changes made after the platform's file was written. It returns the configuration's list if
// there is no other, if the other cannot be read, or if both come from the same discovery service and the
// configuration's version is later. Versions of two discovery services cannot be compared. If it returns another
// process's list, that list also replaces KnownEndpoints.
func (p *process) chooseFirstList() firstList {
	configured := firstList{List: p.Platform.KnownList, service: p.Platform.Discovery}
	if p.store == nil {
		return configured
	}
	first := p.storedList()
	if record, complete, ok := p.latestRecord(); ok {
		first = inherit(record, complete, first, configured)
	}
	if first.service == "" {
		return configured
	}
	if first.isBefore(configured) {
		slog.Info("stored endpoint list outdated", "version", first.Index, "configured_version", configured.Index)
		return configured
	}
	endpoints, err := first.CoreEndpoints()
	if err != nil {
		slog.Warn("stored endpoint list rejected", logmsg.KeyError, err)
		return configured
	}
	p.KnownEndpoints, first.inherited = endpoints, true
	slog.Info(logmsg.EndpointListTakenOver, "endpoints", len(endpoints), "version", first.Index)
	return first
}

// isBefore reports whether the configuration has a later list of the same service. After a restart of the service its
// index does not tell, because the configuration can be from before.
func (f firstList) isBefore(configured firstList) bool {
	restarted := f.record != nil && f.record.Numbering != 0
	return f.service == configured.service && configured.Index > f.Index && !restarted
}

// storedList returns the list that other processes stored last. The service is empty if there is none that can be used.
func (p *process) storedList() (stored firstList) {
	data, service := p.store.InheritedList()
	if len(data) == 0 {
		return firstList{}
	}
	if err := json.Unmarshal(data, &stored.List); err != nil {
		slog.Warn("stored endpoint list rejected", logmsg.KeyError, err)
		return firstList{}
	}
	stored.service = service
	return stored
}

// latestRecord returns the latest record of another process, and a function that returns that process's complete list.
func (p *process) latestRecord() (platform.ListRecord, platform.CompleteList, bool) {
	if p.listExchange == nil {
		return platform.ListRecord{}, nil, false
	}
	return p.listExchange.Latest(p.Platform.Discovery)
}

// inherit returns the list of a record's version, from the writer's complete list or another one that lacks only
// changes that the record holds. If there is none, it returns the latest one, which is outdated then. A list that is
// later than the record's was stored by a version of the program that writes no records, and has none.
// If only the stored list is of the service that the configuration names, it is preferred to one of another service.
func inherit(record platform.ListRecord, complete platform.CompleteList, stored, configured firstList) firstList {
	if record.Service != configured.service && stored.service == configured.service {
		return stored
	}
	if len(configured.Endpoints) == 0 {
		configured.service = "" // the configuration has no list
	}
	service, written, _ := complete()
	latest := firstList{}
	for _, base := range []firstList{{List: written, service: service}, stored, configured} {
		if base.service != record.Service {
			continue
		}
		if list, ok := record.Complete(base.List); ok {
			return firstList{List: list, service: record.Service, record: &record}
		}
		if latest.service == "" || base.Index > latest.Index {
			latest = base
		}
	}
	if latest.service == "" {
		return stored
	}
	if latest.Index <= record.Index {
		latest.record = &record
	}
	return latest
}
