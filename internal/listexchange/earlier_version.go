package listexchange

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"time"

	"harepass/internal/decide/listversion"
	"harepass/internal/logmsg"
	"harepass/internal/operator"
	"harepass/internal/platform"
)

// readStateFile reads the list in the state file of a process that writes no record, because it is of an earlier
// version of the program. The list's age is not known, so it takes part by its index only. The list that the file has
// when it is first read is not offered: a process starts with it (operator.Store.InheritedList), or it is from a
// process that ended long ago.
func (x *Exchange) readStateFile(p *peer, path string) {
	if p.hasRecord {
		return
	}
	data, info, changed := x.readChanged(p.stateFile, path)
	if !changed {
		return
	}
	first := p.stateFile == nil
	p.stateFile = info
	state, err := operator.Decode(data)
	if err != nil || state.Name != x.Name || bytes.Equal(state.List, p.stateList) {
		return // operator.Store logs files that it cannot use
	}
	p.stateList = state.List
	if first {
		return
	}
	var list platform.List
	if err := json.Unmarshal(state.List, &list); err != nil {
		slog.Warn("stored endpoint list rejected", logmsg.KeyError, err)
		return
	}
	heardAt, err := x.Shared.Now()
	if err != nil {
		x.logOnce("endpoint list of another process not read", err)
		return
	}
	p.stored.Record, p.pending = recordOfStateFile(state.Discovery, list.Index, heardAt), true
}

// recordOfStateFile returns a record for a list that was confirmed at an unknown time before heardAt.
func recordOfStateFile(service string, index int64, heardAt time.Duration) platform.ListRecord {
	return platform.ListRecord{Service: service, Index: index, Base: index, HeardAt: heardAt,
		UnreachableAt: listversion.NotConfirmed}
}
