package lifecycle

import (
	"fmt"
	"log/slog"
	"net"
	"os"

	"harepass/internal/http1"
	"harepass/internal/logmsg"
	"harepass/internal/opensearch"
	"harepass/internal/operator"
	"harepass/internal/platform"
)

// front is a listener for clients and the server that accepts from it.
type front struct {
	listener net.Listener
	server   *http1.Server
}

// openFronts opens the listeners for clients. If both fronts are on, the OpenSearch front's is the first.
func (p *process) openFronts() error {
	if p.OpenSearch != nil {
		p.apiFront = &opensearch.Front{Config: p.OpenSearch, Coordinator: p.coordinator, Clock: p.clock,
			Version: p.version}
		server := &http1.Server{Handler: p.apiFront.Handle, ErrorAnswer: opensearch.ErrorResponse,
			Limits: opensearch.RequestLimits}
		if err := p.openFront(p.OpenSearch.Listen, server); err != nil {
			return err
		}
	}
	if p.Platform == nil {
		return nil
	}
	handler := &platform.Front{Coordinator: p.coordinator, Clock: p.clock}
	return p.openFront(p.Platform.Listen, &http1.Server{Handler: handler.Handle, Limits: platform.RequestLimits})
}

// openFront opens the listener at an address for a server, without accepting connections yet.
func (p *process) openFront(address string, server *http1.Server) error {
	l, err := p.clientListener(address)
	if err != nil {
		return err
	}
	slog.Info(logmsg.ListenerOpened, "address", l.Addr().String())
	p.fronts = append(p.fronts, front{l, server})
	return nil
}

// ListenerDescriptorError reports that the descriptor that PROXY_FD names is not a listener. Err is nil if that
// descriptor is not open. A value of PROXY_FD that cannot be a descriptor is a config.DescriptorValueError instead,
// which reading the configuration returns.
type ListenerDescriptorError struct {
	FD  int
	Err error
}

// Error implements error.
func (e *ListenerDescriptorError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("PROXY_FD names descriptor %d, which is not open", e.FD)
	}
	return fmt.Sprintf("PROXY_FD names descriptor %d, which is no listening socket: %v", e.FD, e.Err)
}

// Unwrap returns the operating system's error for the descriptor, or nil.
func (e *ListenerDescriptorError) Unwrap() error { return e.Err }

// clientListener returns the listener that the platform passes in PROXY_FD for the platform's front, if there is one,
// else a new listener.
func (p *process) clientListener(address string) (net.Listener, error) {
	if p.ListenerFD == 0 || p.Platform == nil || address != p.Platform.Listen {
		return net.Listen("tcp", address)
	}
	f := os.NewFile(uintptr(p.ListenerFD), "PROXY_FD")
	if f == nil {
		return nil, &ListenerDescriptorError{FD: p.ListenerFD}
	}
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		return nil, &ListenerDescriptorError{p.ListenerFD, err}
	}
	return l, nil
}

// serveFronts divides the client connections and their memory equally among the fronts and starts accepting clients. If
// the platform holds the listener, the process accepts from it only once it can serve: until then clients wait in the
// backlog, or reach the old process.
func (p *process) serveFronts() {
	n := len(p.fronts)
	for _, f := range p.fronts {
		f.server.MaxConns = max(1, p.maxClientConns()/n)
		f.server.Capacity = func() int { return max(1, p.availableClientConns()/n) }
		f.server.MaxIdle = max(1, p.Limits.IdleClientConns()/n)
		f.server.MaxRequestBytes = p.Limits.RequestBytes() / n
	}
	p.frameCaller.OnDial(p.trimIdleClients)
	for _, f := range p.fronts {
		go func() {
			if p.ListenerFD > 0 {
				<-p.coordinator.Started()
			}
			f.server.Serve(f.listener)
		}()
	}
}

// maxClientConns returns how many connections clients may have. The admin endpoint's connections reduce that number.
func (p *process) maxClientConns() int {
	if p.store != nil {
		return p.Limits.ClientConns() - operator.MaxConns
	}
	return p.Limits.ClientConns()
}

// availableClientConns returns how many connections clients may have now. With many replicas, the connections to them
// may exceed their quarter of the descriptors, because each replica needs one; clients then get that many fewer.
func (p *process) availableClientConns() int {
	return p.maxClientConns() - max(0, p.frameCaller.OpenConns()-p.frameCaller.MaxConns)
}

// trimIdleClients closes connections of idle clients before a replica is dialled, so that a descriptor is free for it.
func (p *process) trimIdleClients() {
	for _, f := range p.fronts {
		f.server.EvictExcess()
	}
}

// clientConnUse returns the used share of the connections that clients may have, from 0 to 1, at the fullest front.
func (p *process) clientConnUse() (share float64) {
	for _, f := range p.fronts {
		share = max(share, float64(f.server.BusyConns())/float64(f.server.MaxConns))
	}
	return share
}
