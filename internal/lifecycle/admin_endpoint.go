package lifecycle

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"

	"harepass/internal/operator"
	"harepass/internal/platform"
)

// openAdminEndpoint opens the admin endpoint for operators' calls. From then on maintenance calls and the endpoint list
// are stored for the next process.
func (p *process) openAdminEndpoint(ctx context.Context) error {
	l, err := net.Listen("tcp", p.Platform.AdminAddress)
	if err != nil {
		return fmt.Errorf("admin endpoint: %w", err)
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

// copyList returns a copy of the endpoint list that the list's source keeps up to date. The source calls changed after
// each change.
func (p *process) copyList(changed func()) *platform.ListCopy {
	if p.relayedList != nil {
		return p.relayedList.KeepCopy(changed)
	}
	return p.discovery.KeepCopy(changed)
}
