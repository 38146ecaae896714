package opensearch_test

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strings"
	"testing"
	"testing/synctest"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/http1"
	"harepass/internal/opensearch"
	"harepass/internal/platform"
)

// withAPIReplicas runs a test with the API's front and replicas that answer each request with a handler.
func withAPIReplicas(t *testing.T, handle http.HandlerFunc, run func(fx *frontFixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fx := newFrontFixture(t, opensearch.Scheme, nil, ringSize)
		for i := range ringSize {
			l := fx.net.Listen(fmt.Sprint("node", i))
			fx.closers = append(fx.closers, func() { l.Close() })
			server := &http.Server{Handler: handle}
			go server.Serve(l)
			fx.closers = append(fx.closers, func() { server.Close() })
		}
		run(fx)
		fx.close()
	})
}

// answers returns a handler that answers with a status and a body.
func answers(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}
}

// A replica finds a fault in a client's request: it already has a document with that id, or cannot read the search. The
// fault is the client's answer however the replica formats its JSON. A document that was not stored is never reported
// as stored, nor an error as a hit.
func TestFaultFoundByReplicaReachesClient(t *testing.T) {
	const conflict = `{"type":"version_conflict_engine_exception","reason":"exists"}`
	const unreadable = `{"type":"parsing_exception","reason":"unknown field"}`
	for _, tc := range []struct {
		method, path, document string
		status                 int
		body                   string
	}{
		{"PUT", "/hazards/_create/x", `{"section":3}`, 409, `{"error":` + conflict + `,"status":409}`},
		{"PUT", "/hazards/_create/x", `{"section":3}`, 409, `{"status":409,"error":` + conflict + `}`},
		{"PUT", "/hazards/_create/x", `{"section":3}`, 409, "{\n  \"error\" : " + conflict + ",\n  \"status\" : 409\n}\n"},
		{"PUT", "/hazards/_create/x", `{"section":3}`, 409, `{"error":` + conflict + `}`},
		{"PUT", "/hazards/_doc/x", `{"section":3}`, 400, " {\"error\":" + unreadable + ",\"status\":400}"},
		{"GET", "/trails/_search", "", 400, `{"error":` + unreadable + `,"status":400}`},
		{"GET", "/trails/_search", "", 400, "{\n  \"error\" : " + unreadable + ",\n  \"status\" : 400\n}\n"},
		{"GET", "/trails/_search", "", 400, `{"status":400,"error":` + unreadable + `}`},
	} {
		withAPIReplicas(t, answers(tc.status, tc.body), func(fx *frontFixture) {
			status, _, data := fx.do(tc.method, tc.path, tc.document, nil)
			if status != tc.status || !strings.Contains(string(data), `"error":`) {
				t.Errorf("%s %s, replica answers %d %q: client gets %d %s",
					tc.method, tc.path, tc.status, tc.body, status, data)
			}
		})
	}
}

// request returns a client's request in the form that a front receives.
func request(method, target, body string) *http1.Message {
	return &http1.Message{Method: method, Target: target, Header: textproto.MIMEHeader{}, Body: []byte(body)}
}

// valueCaller serves each attempt with one value, like replicas that speak frames.
type valueCaller struct {
	reporter core.AttemptReporter
	value    string
}

func (c *valueCaller) Call(_ core.Endpoint, attempts []*core.Attempt) {
	for _, at := range attempts {
		go func() {
			if at.Begin() {
				c.reporter.AttemptEnded(at, scatter.Succeeded, []byte(c.value))
			}
		}()
	}
}

func (*valueCaller) Cancel(*core.Attempt)        {}
func (*valueCaller) CloseIdleConnections(string) {}

// A replica that speaks frames returns a text that reads like an error of the API. It is a value like any other: the
// client gets it as a hit, and a report counts as stored.
func TestValueThatReadsLikeAnErrorIsNoFault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := &valueCaller{value: `{"error":{"type":"x"},"status":400}`}
		coordinator, err := core.New(core.Config{Seed: 1, Settings: settings(), Clock: core.SystemClock(),
			Callers: map[string]core.Caller{platform.Scheme: caller}, Subscribe: func() {}, PolledSource: "test"})
		if err != nil {
			t.Fatal(err)
		}
		caller.reporter = coordinator
		go coordinator.Run()
		coordinator.UpdateEndpoints("test", scatter.FullUpdate, []core.Endpoint{
			{Replica: scatter.Replica{ID: "a"}, Address: "a", Scheme: platform.Scheme},
			{Replica: scatter.Replica{ID: "b", RingPosition: 1}, Address: "b", Scheme: platform.Scheme},
			{Replica: scatter.Replica{ID: "c", RingPosition: 2}, Address: "c", Scheme: platform.Scheme}})
		front := &opensearch.Front{Coordinator: coordinator, Clock: core.SystemClock(),
			Config: checkedConfig(t, settings(), "", map[string]*opensearch.Index{"trails": {Class: "route-lookup"},
				"hazards": {Class: "hazard-report", TakesDocuments: true}})}
		synctest.Wait()
		search := front.Handle(request("GET", "/trails/_search", ""), nil)
		if search.Status != 200 || !strings.Contains(string(search.Body), `"total":10`) {
			t.Errorf("search: status %d, answer %s; want status 200 and 10 hits", search.Status, search.Body)
		}
		if report := front.Handle(request("POST", "/hazards/_doc", `{"section":3}`), nil); report.Status != 201 {
			t.Errorf("report: status %d, answer %s; want status 201", report.Status, report.Body)
		}
		coordinator.Stop()
	})
}
