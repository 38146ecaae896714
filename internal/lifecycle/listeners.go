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

// maxAPIBody is the longest body of a request to the OpenSearch front, in bytes.
const maxAPIBody = 256 << 10

// front is a listener for clients with its server.
type front struct {
	listener net.Listener
	server   *http1.Server
}

// openFronts opens the listeners for clients: the OpenSearch front's first, where both are on.
func (p *process) openFronts() error {
	if p.OpenSearch != nil {
		p.apiFront = &opensearch.Front{Config: p.OpenSearch, Coordinator: p.coordinator, Clock: p.clock,
			Version: p.version}
		server := &http1.Server{Handler: p.apiFront.Handle, ErrorAnswer: opensearch.ErrorResponse,
			Limits: http1.Limits{Head: http1.DefaultLimits.Head, Body: maxAPIBody}}
		if err := p.openFront(p.OpenSearch.Listen, server); err != nil {
			return err
		}
	}
	if p.Platform == nil {
		return nil
	}
	handler := &platform.Front{Coordinator: p.coordinator, Clock: p.clock}
	return p.openFront(p.Platform.Listen, &http1.Server{Handler: handler.Handle, Limits: http1.DefaultLimits})
}

// openFront opens the listener at an address for a server. Nothing is accepted yet.
func (p *process) openFront(address string, server *http1.Server) error {
	l, err := p.clientListener(address)
	if err != nil {
		return err
	}
	slog.Info(logmsg.ListenerOpened, "address", l.Addr().String())
	p.fronts = append(p.fronts, front{l, server})
	return nil
}

// ListenerDescriptorError reports that the descriptor in PROXY_FD is no listener. Err is nil where no such descriptor
// is open. A value that cannot be such a descriptor is a config.DescriptorValueError, found while the configuration is
// read.
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

// Unwrap returns what the system says of the descriptor, or nil.
func (e *ListenerDescriptorError) Unwrap() error { return e.Err }

// clientListener is the listener that the platform hands down for the platform's front, where it does; else a new one.
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

// serveFronts divides the connections among the fronts and accepts clients. Where the platform holds the listener, a
// process accepts from it only once it can serve: until then clients wait, or reach the process before.
func (p *process) serveFronts() {
	n := len(p.fronts)
	for _, f := range p.fronts {
		f.server.MaxConns = max(1, p.maxClientConns()/n)
		f.server.Capacity = func() int { return max(1, p.availableClientConns()/n) }
		f.server.MaxIdle = max(1, p.Limits.IdleClientConns()/n)
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

// maxClientConns is how many connections clients may have. The admin endpoint's come out of them.
func (p *process) maxClientConns() int {
	if p.store != nil {
		return p.Limits.ClientConns() - operator.MaxConns
	}
	return p.Limits.ClientConns()
}

// availableClientConns is how many connections clients may have now. Where there are many replicas, their connections
// may exceed their quarter of the descriptors, for each replica is owed one; clients then have less.
func (p *process) availableClientConns() int {
	return p.maxClientConns() - max(0, p.frameCaller.OpenConns()-p.frameCaller.MaxConns)
}

// trimIdleClients closes idle clients' connections before a replica is dialled, so that a descriptor is free for it.
func (p *process) trimIdleClients() {
	for _, f := range p.fronts {
		f.server.EvictExcess()
	}
}

// clientConnUse is the used share of the connections that clients may have, from 0 to 1, at the front that is fullest.
func (p *process) clientConnUse() (share float64) {
	for _, f := range p.fronts {
		share = max(share, float64(f.server.BusyConns())/float64(f.server.MaxConns))
	}
	return share
}
