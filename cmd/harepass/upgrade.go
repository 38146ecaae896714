package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"time"

	"harepass/internal/operator"
	"harepass/internal/platform"
)

// This file is what a process has in common with the one that it takes over from, or that takes over from it.

// stateFolder is below the folder that the platform leaves as it was when it starts a new version beside the old one.
const stateFolder = "harepass"

// takeOver reads what another process has left and returns the list to begin with, and the address that it came from: the
// other process's, unless the configuration's is a later one.
func (p *program) takeOver() (list platform.List, from string) {
	known := p.config.Known
	if p.config.Operator == "" {
		return known, p.config.Discovery
	}
	var files *operator.StateDir
	err := errors.New("TMPDIR is not set")
	if dir := os.Getenv("TMPDIR"); dir != "" {
		files, err = operator.OpenStateDir(filepath.Join(dir, stateFolder), time.Now())
	}
	if err != nil {
		slog.Error("calls of operators will not outlive this process", "err", err)
	}
	p.staff = operator.NewStore(p.config.Name, files, p.clock)
	data, from := p.staff.InheritedList()
	if len(data) == 0 {
		return known, p.config.Discovery
	}
	var found platform.List
	err = json.Unmarshal(data, &found)
	nodes, bad := found.CoreEndpoints()
	if err = errors.Join(err, bad); err != nil {
		slog.Warn("the other process's list is not used", "err", err)
		return known, p.config.Discovery
	}
	if from == p.config.Discovery && known.Index > found.Index {
		slog.Info("the configuration's list is later than the other process's", "version", known.Index, "other", found.Index)
		return known, from
	}
	p.known = nodes
	slog.Info("list taken over", "nodes", len(nodes), "version", found.Index)
	return found, from
}

// openDoor lets operators in. From here on what they say is kept for the process that comes next.
func (p *program) openDoor(ctx context.Context) error {
	l, err := net.Listen("tcp", p.config.Operator)
	if err != nil {
		return fmt.Errorf("operators' door: %w", err)
	}
	p.staff.Coordinator = p.owner
	kept := p.keepList(p.staff.ListChanged)
	p.staff.EncodeList = func() (string, json.RawMessage, error) {
		address, whole := kept.Snapshot()
		data, err := json.Marshal(whole)
		return address, data, err
	}
	p.staff.NotifyCoordinator()
	go p.staff.Run(ctx)
	door := &operator.AdminServer{Handler: p.staff}
	go door.Serve(l)
	p.closers = append(p.closers, func() { l.Close(); door.Close() })
	slog.Info("operators' door", "listen", l.Addr().String())
	return nil
}

// socketAt is the clients' socket where the platform hands one down, else one of our own.
func (p *program) socketAt(address string) (net.Listener, error) {
	if p.socket == 0 || p.config == nil || address != p.config.Listen {
		return net.Listen("tcp", address)
	}
	f := os.NewFile(uintptr(p.socket), "PROXY_FD")
	if f == nil {
		return nil, fmt.Errorf("PROXY_FD names descriptor %d, which is not open", p.socket)
	}
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("PROXY_FD names descriptor %d, which is no listening socket: %w", p.socket, err)
	}
	return l, nil
}
