package lifecycle

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"time"

	"harepass/internal/core"
	"harepass/internal/logmsg"
	"harepass/internal/operator"
	"harepass/internal/platform"
)

// StateFolder is the folder of the stored state, below the one that TMPDIR names. The platform leaves that one as it
// was when it starts a new version beside the old one.
const StateFolder = "harepass"

// ErrNoStateFolder means that TMPDIR is not set, so nothing can be stored for the process that comes next.
var ErrNoStateFolder = errors.New("TMPDIR is not set")

// openStore opens the stored state, if there is an admin endpoint. If the folder cannot be opened, operators' calls
// are answered all the same, but end with this process.
func (p *process) openStore() {
	if p.Platform.AdminAddress == "" {
		return
	}
	files, err := p.openStateFolder()
	if err != nil {
		slog.Error("operator calls not persisted", logmsg.KeyError, err)
	}
	p.store = operator.NewStore(p.Platform.Name, files, p.clock)
}

// openStateFolder opens the folder of the stored state.
func (p *process) openStateFolder() (*operator.StateDir, error) {
	dir := p.env("TMPDIR")
	if dir == "" {
		return nil, ErrNoStateFolder
	}
	return operator.OpenStateDir(filepath.Join(dir, StateFolder), time.Now())
}

// takeOverList returns the endpoint list to begin with, and the address of the discovery that it came from. It is the
// list that another process has stored, unless the configuration's is a later one of the same discovery.
func (p *process) initialList() (list platform.List, from string) {
	known := p.Platform.KnownList
	if p.store == nil {
		return known, p.Platform.Discovery
	}
	data, from := p.store.InheritedList()
	if len(data) == 0 {
		return known, p.Platform.Discovery
	}
	stored, endpoints, err := readStoredList(data)
	if err != nil {
		slog.Warn("stored endpoint list rejected", logmsg.KeyError, err)
		return known, p.Platform.Discovery
	}
	if from == p.Platform.Discovery && known.Index > stored.Index {
		slog.Info("stored endpoint list outdated", "version", stored.Index, "configured_version", known.Index)
		return known, from
	}
	p.KnownEndpoints = endpoints
	slog.Info(logmsg.EndpointListTakenOver, "endpoints", len(endpoints), "version", stored.Index)
	return stored, from
}

// readStoredList reads an endpoint list from stored state.
func readStoredList(data []byte) (platform.List, []core.Endpoint, error) {
	var list platform.List
	err := json.Unmarshal(data, &list)
	endpoints, invalid := list.CoreEndpoints()
	return list, endpoints, errors.Join(err, invalid)
}

// openAdminEndpoint accepts operators' calls. From then on what they say, and the endpoint list, is stored for the
// process that comes next.
func (p *process) openAdminEndpoint(ctx context.Context) error {
	l, err := net.Listen("tcp", p.Platform.AdminAddress)
	if err != nil {
		return fmt.Errorf("operators' door: %w", err)
	}
	p.store.Coordinator = p.coordinator
	list := p.copyList(p.store.ListChanged)
	p.store.EncodeList = func() (string, json.RawMessage, error) {
		address, snapshot := list.Snapshot()
		data, err := json.Marshal(snapshot)
		return address, data, err
	}
	p.store.NotifyCoordinator()
	go p.store.Run(ctx)
	server := &operator.AdminServer{Handler: p.store}
	go server.Serve(l)
	p.onStop = append(p.onStop, func() { l.Close(); server.Close() })
	slog.Info("admin endpoint opened", "address", l.Addr().String())
	return nil
}

// copyList has a copy of the endpoint list kept up to date; changed is called after each change.
func (p *process) copyList(changed func()) *platform.ListCopy {
	if p.relayedList != nil {
		return p.relayedList.KeepCopy(changed)
	}
	return p.discovery.KeepCopy(changed)
}
