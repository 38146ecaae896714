package relay

import (
	"context"
	"fmt"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"testing"

	"harepass/internal/http1"
)

// A call that cannot be answered with a slice is rejected, and the status code tells the reason.
func TestRejectedCallsSayWhy(t *testing.T) {
	server := newAuthorityServer(5, ampleBudget)
	address, _ := start(t, server)
	r := newReader(t, address)
	answer, err := r.get(EndpointsPath)
	if err != nil || answer.Status != 503 {
		t.Fatalf("call to a resource without a version: answer %+v, error %v, want status 503", answer, err)
	}
	if wait, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err != nil || wait <= 0 {
		t.Errorf("Retry-After is %q, want a number above 0", answer.Header.Get("Retry-After"))
	}
	mustPublish(t, server.Endpoints, endpointChanges(10, 1))
	for target, want := range map[string]int{
		EndpointsPath: 200, SettingsPath: 503, StatusPath: 200, "/registry": 404, "/": 404,
		EndpointsPath + "?epoch=5&from=10":                            200,
		EndpointsPath + "?epoch=4&from=900":                           200, // a reader of an old epoch gets a snapshot
		EndpointsPath + "?epoch=5&from=11":                            409,
		EndpointsPath + "?epoch=5&from=3&base=11":                     409,
		EndpointsPath + "?epoch=5&from=10&head=11":                    409,
		EndpointsPath + "?epoch=6&from=1&hold_ms=9":                   409,
		EndpointsPath + "?from=x":                                     400,
		EndpointsPath + "?from=-1":                                    400,
		EndpointsPath + "?epoch=99999999999999999999":                 400,
		EndpointsPath + "?hold_ms=1.5":                                400,
		EndpointsPath + "?hold_ms=9223372036854775807&from=2&epoch=5": 200,
	} {
		if answer, err := r.get(target); err != nil || answer.Status != want {
			t.Errorf("GET %s: answer %+v, error %v, want status %d", target, answer, err, want)
		}
	}
	post := &http1.Message{Method: "POST", Target: EndpointsPath, Header: textproto.MIMEHeader{"Host": {"relay"}}}
	if answer, _, err := r.client.Do(context.Background(), post); err != nil || answer.Status != 405 {
		t.Errorf("POST: answer %+v, error %v, want status 405", answer, err)
	}
}

// Five readers send calls and read no answers, until the server's writes to their connections block. Another reader
// still gets each change.
func TestBlockedReadersDelayNoOther(t *testing.T) {
	const entries, blocked, requests = 1000, 5, 8
	server := newAuthorityServer(5, ampleBudget)
	address, _ := start(t, server)
	mustPublish(t, server.Endpoints, endpointChanges(entries, 1))
	for range blocked {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.(*net.TCPConn).SetReadBuffer(4 << 10)
		fmt.Fprint(c, strings.Repeat("GET "+EndpointsPath+" HTTP/1.1\r\nHost: relay\r\n\r\n", requests))
	}
	waitFor(t, "not all blocked readers have called", func() bool { return server.Endpoints.Status().Calls >= blocked })
	r := newReader(t, address)
	for value := 2; value < 6; value++ {
		mustPublish(t, server.Endpoints, endpointChanges(368, value))
		r.readAll(t)
	}
	if len(r.live) != entries {
		t.Errorf("reader has %d entries, want %d", len(r.live), entries)
	}
	if sent := int(server.bytesOut.Load()) - r.bytes; sent > blocked*requests*maxBody/2 {
		t.Errorf("server sent %d bytes to the other readers, which were thus not blocked", sent)
	}
}

// A server shuts down while a reader watches. The server answers the reader at once, and then closes its connection.
func TestShutdownAnswersWatches(t *testing.T) {
	server := newAuthorityServer(5, ampleBudget)
	address, stop := start(t, server)
	mustPublish(t, server.Endpoints, endpointChanges(10, 1))
	r := newReader(t, address)
	r.readAll(t)
	done := make(chan error)
	go func() {
		_, err := r.call(longWait)
		done <- err
	}()
	waitFor(t, "no reader watches", func() bool { return server.Endpoints.Status().Waiting == 1 })
	stop()
	if err := <-done; err != nil {
		t.Errorf("watch ended with error %v", err)
	}
	if _, err := r.call(0); err == nil {
		t.Error("server answers a call after its shutdown")
	}
}

// While as many watches are open as the server admits, it rejects a further reader, and the others keep watching. It
// admits that reader once the others have been answered.
func TestLimitOfReaders(t *testing.T) {
	budget := NewSnapshotBudget(ampleBudget)
	server := NewServer(newTestResource(5, budget), newTestResource(5, budget), 2)
	address, _ := start(t, server)
	mustPublish(t, server.Endpoints, endpointChanges(10, 1))
	var watching sync.WaitGroup
	defer watching.Wait()
	for i := range 2 {
		r := newReader(t, address)
		r.readAll(t)
		watching.Go(func() { r.call(longWait) })
		waitFor(t, "no reader watches", func() bool { return server.Endpoints.Status().Waiting == i+1 })
	}
	third := newReader(t, address)
	if status, err := third.call(0); status != 503 || err != nil {
		t.Errorf("third reader while two watch: status %d, error %v, want 503", status, err)
	}
	mustPublish(t, server.Endpoints, endpointChanges(10, 2))
	watching.Wait()
	if status, err := third.call(0); status != 200 || err != nil {
		t.Errorf("third reader after the watches were answered: status %d, error %v, want 200", status, err)
	}
}
