package fake

import (
	"net"
	"net/http"
	"time"
)

// RegistryMode selects how a Registry handles calls.
type RegistryMode string

// The modes of a Registry.
const (
	RegistryHealthy    RegistryMode = ""
	RegistryDown       RegistryMode = "down"    // rejects each call and each waiting watch at once
	RegistryOverloaded RegistryMode = "crowded" // never answers waiting watches; delays and resets each call
	RegistrySilent     RegistryMode = "silent"  // answers neither calls nor watches
)

// overloadedDelay is how long an overloaded Registry delays a call before it resets the connection.
const overloadedDelay = time.Second

// SetMode changes how calls are handled from now on, including watches that already wait.
func (r *Registry) SetMode(mode RegistryMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
	r.notify()
}

// Mode returns how calls are handled.
func (r *Registry) Mode() RegistryMode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

// applyMode handles a call, or a watch that has been waiting, as the mode requires. It reports false if the call still
// has to be answered.
func applyMode(w http.ResponseWriter, req *http.Request, mode RegistryMode, waiting bool) bool {
	switch {
	case mode == RegistryHealthy:
		return false
	case mode == RegistryDown:
		w.WriteHeader(http.StatusServiceUnavailable)
	case mode == RegistryOverloaded && !waiting:
		select {
		case <-time.After(overloadedDelay):
			resetConnection(w)
		case <-req.Context().Done():
		}
	default:
		<-req.Context().Done()
	}
	return true
}

// resetConnection resets a call's connection, if the server allows the handler to take it over.
func resetConnection(w http.ResponseWriter) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	if conn, _, err := h.Hijack(); err == nil {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
}
