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

// A call that cannot be answered with a slice is rejected with the status code that says why.
func TestRejectedCallsSayWhy(t *testing.T) {
	server := newAuthorityServer(5, wideBudget)
	address, _ := start(t, server)
	r := newReader(t, address)
	answer, err := r.get(EndpointsPath)
	if err != nil || answer.Status != 503 {
		t.Fatalf("with nothing to give out: %+v, %v", answer, err)
	}
	if wait, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err != nil || wait <= 0 {
		t.Errorf("Retry-After %q", answer.Header.Get("Retry-After"))
	}
	mustPublish(t, server.Endpoints, endpointChanges(10, 1))
	for target, want := range map[string]int{
		EndpointsPath: 200, SettingsPath: 503, StatusPath: 200, "/registry": 404, "/": 404,
		EndpointsPath + "?epoch=5&from=10":                            200,
		EndpointsPath + "?epoch=4&from=900":                           200, // a reader of an older epoch begins anew
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
			t.Errorf("%s: %+v, %v, want %d", target, answer, err, want)
		}
	}
	post := &http1.Message{Method: "POST", Target: EndpointsPath, Header: textproto.MIMEHeader{"Host": {"relay"}}}
	if answer, _, err := r.client.Do(context.Background(), post); err != nil || answer.Status != 405 {
		t.Errorf("POST: %+v, %v", answer, err)
	}
}

// Five readers send calls and read no answer, until their connections take no more. Another reader gets each change as
// before.
func TestBlockedReadersDelayNoOther(t *testing.T) {
	const long, blocked, requests = 1000, 5, 8
	server := newAuthorityServer(5, wideBudget)
	address, _ := start(t, server)
	mustPublish(t, server.Endpoints, endpointChanges(long, 1))
	for range blocked {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.(*net.TCPConn).SetReadBuffer(4 << 10)
		fmt.Fprint(c, strings.Repeat("GET "+EndpointsPath+" HTTP/1.1\r\nHost: relay\r\n\r\n", requests))
	}
	waitFor(t, "not all have called", func() bool { return server.Endpoints.Status().Calls >= blocked })
	r := newReader(t, address)
	for value := 2; value < 6; value++ {
		mustPublish(t, server.Endpoints, endpointChanges(368, value))
		r.readAll(t)
	}
	if len(r.live) != long {
		t.Errorf("%d entries, want %d", len(r.live), long)
	}
	if sent := int(server.bytesOut.Load()) - r.bytes; sent > blocked*requests*maxBody/2 {
		t.Errorf("the others were sent %d bytes: they were not blocked", sent)
	}
}

// A server shuts down while a reader watches. The reader is answered at once, and its connection is closed after that.
func TestShutdownAnswersWatches(t *testing.T) {
	server := newAuthorityServer(5, wideBudget)
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
		t.Errorf("the watch ended with %v", err)
	}
	if _, err := r.call(0); err == nil {
		t.Error("the server answers after its end")
	}
}

// With as many watches open as there may be, a further reader is rejected, and the others keep watching. It is admitted
// once they have been answered.
func TestLimitOfReaders(t *testing.T) {
	budget := NewSnapshotBudget(wideBudget)
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
		t.Errorf("the third reader has status %d, %v", status, err)
	}
	mustPublish(t, server.Endpoints, endpointChanges(10, 2))
	watching.Wait()
	if status, err := third.call(0); status != 200 || err != nil {
		t.Errorf("the third reader, when the others have been answered: status %d, %v", status, err)
	}
}
