package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"harepass/internal/logmsg"
	"harepass/internal/test/fake"
)

// openIdleClients opens client connections; every second one sends one request, and the others send nothing. They stay
// open until the process closes them or the test ends.
func openIdleClients(t *testing.T, address string) {
	for i := range 120 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		if i%2 == 0 {
			io.WriteString(c, "GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n")
		}
	}
}

// queryOnNewConns sends queries, each on a new connection that needs a descriptor in the process, and checks that each
// query is served.
func queryOnNewConns(t *testing.T, address, when string) {
	http.DefaultClient.CloseIdleConnections() // the process may be closing the one that an earlier request left idle
	for range 150 {
		status := query(t, address, 0, 1, 2, 3, 4, 5)
		if http.DefaultClient.CloseIdleConnections(); status != 200 {
			t.Errorf("%s: query status %d, want 200", when, status)
		}
	}
}

// Idle clients use up the descriptors that are left to them while discovery is down, with more replicas than a quarter
// of the descriptors. No query fails for lack of a descriptor, and neither does polling discovery after it returns or
// reading the configuration again.
func TestIdleClientsLeaveDescriptorsForReplicas(t *testing.T) {
	const sockets, replicas = 96, 40
	p := newLimitedProcess(t, sockets, replicas)
	p.start(p.listing(1, inService), p.unusedDiscovery)
	eventually(t, "the process is ready", func() bool { return isReady(p.address) })
	for range 3 {
		openIdleClients(t, p.address)
		queryOnNewConns(t, p.address, "while discovery is down")
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	if err != nil || len(open) < sockets/2 || len(open) > sockets {
		t.Errorf("%d descriptors are open, error %v; want from half of the limit to all of it", len(open), err)
	}
	l, err := net.Listen("tcp", p.unusedDiscovery)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var polled atomic.Bool
	draining := p.listing(2, drainingBefore(1))
	go fake.ServeDiscovery(l, func() string { polled.Store(true); return string(draining) })
	eventually(t, "discovery is polled", func() bool { openIdleClients(t, p.address); return polled.Load() })
	time.Sleep(200 * time.Millisecond)
	before := len(p.replicas[0].Received())
	queryOnNewConns(t, p.address, "with discovery back")
	if n := len(p.replicas[0].Received()) - before; n > 0 {
		t.Errorf("%d parts went to a replica that discovery lists as draining", n)
	}
	p.writeConfig(p.listing(1, inService), l.Addr().String())
	p.Process.Signal(syscall.SIGHUP)
	eventually(t, "the configuration is reloaded", func() bool { return p.logged(logmsg.ConfigurationReloaded) })
	if p.logged("too many open files") {
		t.Errorf("the process ran out of descriptors: %s", p.log)
	}
}
