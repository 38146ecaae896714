package fake

import (
	"net"
	"net/http"
	"time"
)

// RegistryMode is how a Registry treats calls.
type RegistryMode string

// The modes of a Registry.
const (
	RegistryHealthy    RegistryMode = ""
	RegistryDown       RegistryMode = "down"    // watches end, and each call is rejected at once
	RegistryOverloaded RegistryMode = "crowded" // watches are not answered; each call waits and is reset
	RegistrySilent     RegistryMode = "silent"  // no call and no watch is answered
)

// overloadedDelay is how long an overloaded Registry keeps a call waiting before it resets the connection.
const overloadedDelay = time.Second

// SetMode changes how calls are treated from now on, also those of watches that wait.
func (r *Registry) SetMode(mode RegistryMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
	r.notify()
}

// Mode is how calls are treated.
func (r *Registry) Mode() RegistryMode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

// applyMode treats a call, or a watch that has been waiting, as a mode says. It reports false where the mode has it
// answered.
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

// resetConnection resets a call's connection, where the server lets it be taken over.
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
