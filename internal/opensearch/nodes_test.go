package opensearch

import (
	"context"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/http1"
)

// outcomes takes the one outcome of each attempt.
type outcomes chan string

func (o outcomes) AttemptEnded(_ *core.Attempt, outcome scatter.Outcome, value []byte) {
	o <- string(rune('0'+int(outcome))) + " " + string(value)
}

// Spoilt answers are errors of a node that runs, not broken connections, and what comes behind an answer is
// never taken for the next one.
func TestSpoiltAnswers(t *testing.T) {
	good := "HTTP/1.1 200 OK\r\nContent-Length: 82\r\n\r\n" +
		`{"timed_out":false,"_shards":{"total":1,"successful":1,"failed":0},"hits":{"n":1}}`
	hold := strings.Replace(good, `"n":1`, `"n":2`, 1)
	for _, tc := range []struct{ answer, want string }{
		{good + "noise", `0 {"n":1}`},
		{good + hold, `0 {"n":1}`},
		{"noise\r\n\r\n", "1 "},
		{"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n", "1 "},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "1 "},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2000000000\r\n\r\n", "1 "},
		{"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 20<<10), "1 "},
		{strings.Replace(good, `"hits"`, `"h\xffts"`, 1), "1 "},
		{"HTTP/1.1 200 OK\r\n", "5 "}, // the connection ends
	} {
		synctest.Test(t, func(t *testing.T) {
			ended, conns := make(outcomes, 2), 0
			n := &Caller{Reporter: ended, Config: &Config{SectionField: "section"}, MaxConns: 4, ConnectTimeout: time.Second, KeepAlive: time.Minute}
			n.Dial = func(context.Context, string) (net.Conn, error) {
				here, there := net.Pipe()
				conns++
				answer := tc.answer
				if conns > 1 {
					answer = hold
				}
				go func() {
					there.Read(make([]byte, 4<<10))
					there.Write([]byte(answer))
					there.Close()
				}()
				return here, nil
			}
			ask := func() string {
				n.Call(core.Endpoint{Replica: scatter.Replica{ID: "n"}, Address: "n"},
					[]*core.Attempt{{Endpoint: "n", Timeout: time.Second, Origin: &search{index: &Index{name: "i"}}}})
				return <-ended
			}
			if got := ask(); got != tc.want {
				t.Errorf("%.60q: %q, want %q", tc.answer, got, tc.want)
			}
			if got := ask(); got != `0 {"n":2}` || conns != 2 {
				t.Errorf("%.60q: the next answer is %q on connection %d", tc.answer, got, conns)
			}
			n.CloseIdleConnections("n")
			synctest.Wait()
			if len(n.replicas) > 0 || len(n.cancels) > 0 || n.idleCount > 0 || len(n.slots) > 0 {
				t.Errorf("%d nodes, %d sends, %d idle and %d slots remain", len(n.replicas), len(n.cancels), n.idleCount, len(n.slots))
			}
		})
	}
}

// Only a rejection that is certain not to have run counts as never run, and only an answer that the node
// itself calls whole counts as served.
func TestOutcomes(t *testing.T) {
	for _, tc := range []struct {
		status int
		body   string
		want   scatter.Outcome
	}{
		{200, `{"timed_out":false,"_shards":{"total":1,"successful":1,"failed":0},"hits":{"hits":[]}}`, scatter.Succeeded},
		{200, `{"timed_out":true,"_shards":{"total":1,"successful":1,"failed":0},"hits":{"hits":[]}}`, scatter.Errored},
		{200, `{"timed_out":false,"_shards":{"total":1,"successful":0,"failed":1},"hits":{"hits":[]}}`, scatter.Errored},
		{200, `{"timed_out":false,"hits":{"hits":[]}}`, scatter.Errored},
		{200, `{"timed_out":false,`, scatter.Errored},
		{201, `{"_id":"a","result":"created"}`, scatter.Succeeded},
		{409, `{"error":{"type":"version_conflict_engine_exception"},"status":409}`, scatter.Succeeded},
		{429, `{"error":{"type":"rejected_execution_exception"},"status":429}`, scatter.Rejected},
		{429, `{"error":{"type":"circuit_breaking_exception"},"status":429}`, scatter.Errored},
		{429, `too many`, scatter.Errored},
		{503, `{"error":{"type":"rejected_execution_exception"},"status":503}`, scatter.Errored},
		{500, `{"error":{"type":"exception"},"status":500}`, scatter.Errored},
		{400, `{"error":{"type":"parsing_exception"},"status":400}`, scatter.Errored},
	} {
		if got, _ := outcomeOf(&http1.Message{Status: tc.status, Body: []byte(tc.body)}, false); got != tc.want {
			t.Errorf("%d %s: outcome %d, want %d", tc.status, tc.body, got, tc.want)
		}
	}
}
