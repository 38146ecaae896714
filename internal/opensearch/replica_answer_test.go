package opensearch

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/http1"
)

// endedAttempt is an attempt's outcome and value, as a Caller reports them.
type endedAttempt struct {
	outcome scatter.Outcome
	value   string
}

// outcomeNames are the names of the outcomes in test failures.
var outcomeNames = map[scatter.Outcome]string{
	scatter.Succeeded:       "succeeded",
	scatter.Errored:         "errored",
	scatter.Rejected:        "rejected",
	scatter.TimedOut:        "timed out",
	scatter.ConnectFailed:   "connect failed",
	scatter.ConnectionReset: "connection reset",
	scatter.Cancelled:       "cancelled",
	scatter.NotSent:         "not sent",
}

// String returns the outcome's name and the value.
func (e endedAttempt) String() string {
	return fmt.Sprintf("%s with value %q", outcomeNames[e.outcome], e.value)
}

// endedAttempts receives the one outcome of each attempt.
type endedAttempts chan endedAttempt

func (c endedAttempts) AttemptEnded(_ *core.Attempt, outcome scatter.Outcome, value []byte) {
	c <- endedAttempt{outcome, string(value)}
}

const (
	firstAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 82\r\n\r\n" +
		`{"timed_out":false,"_shards":{"total":1,"successful":1,"failed":0},"hits":{"n":1}}`
	secondAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 82\r\n\r\n" +
		`{"timed_out":false,"_shards":{"total":1,"successful":1,"failed":0},"hits":{"n":2}}`
)

// dialAnswering returns a dialer to a replica that writes the first answer on the first connection and secondAnswer on
// all later ones, then closes the connection. dials counts the connections.
func dialAnswering(first string, dials *int) http1.Dialer {
	return func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()
		*dials++
		answer := first
		if *dials > 1 {
			answer = secondAnswer
		}
		go func() {
			server.Read(make([]byte, 4<<10))
			server.Write([]byte(answer))
			server.Close()
		}()
		return client, nil
	}
}

// A replica answers with bytes that cannot be read, with a length that no answer may have, or with more bytes than its
// answer. An unreadable answer is an error of a running replica, not a broken connection. Bytes after an answer are
// never taken for the next answer, which has a connection of its own.
func TestUnreadableAnswerIsNoBrokenConnection(t *testing.T) {
	served, errored := endedAttempt{scatter.Succeeded, `{"n":1}`}, endedAttempt{outcome: scatter.Errored}
	for _, tc := range []struct {
		answer string
		want   endedAttempt
	}{
		{firstAnswer + "noise", served},
		{firstAnswer + secondAnswer, served},
		{"noise\r\n\r\n", errored},
		{"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n", errored},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", errored},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2000000000\r\n\r\n", errored},
		{"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 20<<10), errored},
		{strings.Replace(firstAnswer, `"hits"`, `"h\xffts"`, 1), errored},
		{"HTTP/1.1 200 OK\r\n", endedAttempt{outcome: scatter.ConnectionReset}}, // the connection ends within the head
	} {
		synctest.Test(t, func(t *testing.T) {
			ended, dials := make(endedAttempts, 2), 0
			caller := &Caller{Reporter: ended, Config: &Config{SectionField: "section"}, MaxConns: 4,
				ConnectTimeout: time.Second, KeepAlive: time.Minute, Dial: dialAnswering(tc.answer, &dials)}
			call := func() endedAttempt {
				at := &core.Attempt{ReplicaID: "n", Timeout: time.Second, Origin: &search{index: &Index{name: "i"}}}
				caller.Call(core.Endpoint{Replica: scatter.Replica{ID: "n"}, Address: "n"}, []*core.Attempt{at})
				return <-ended
			}
			if got := call(); got != tc.want {
				t.Errorf("answer %.60q: %v, want %v", tc.answer, got, tc.want)
			}
			if got := call(); got != (endedAttempt{scatter.Succeeded, `{"n":2}`}) || dials != 2 {
				t.Errorf("answer %.60q: next attempt %v on connection %d, want the answer of connection 2",
					tc.answer, got, dials)
			}
			caller.CloseIdleConnections("n")
			synctest.Wait()
			if len(caller.replicas) > 0 || len(caller.sent) > 0 || caller.idleCount > 0 || len(caller.slots) > 0 {
				t.Errorf("%d replicas, %d attempts, %d idle connections and %d slots remain, want none",
					len(caller.replicas), len(caller.sent), caller.idleCount, len(caller.slots))
			}
		})
	}
}

// Only a rejection that proves that the request never began counts as one, since a rejected part may run again in any
// class. Only an answer that the replica itself marks as complete counts as served.
func TestOutcomeOfReplicaAnswer(t *testing.T) {
	for _, tc := range []struct {
		status int
		body   string
		want   scatter.Outcome
	}{
		{200, `{"timed_out":false,"_shards":{"total":1,"successful":1,"failed":0},"hits":{"hits":[]}}`,
			scatter.Succeeded},
		{200, `{"timed_out":true,"_shards":{"total":1,"successful":1,"failed":0},"hits":{"hits":[]}}`, scatter.Errored},
		{200, `{"timed_out":false,"_shards":{"total":1,"successful":0,"failed":1},"hits":{"hits":[]}}`,
			scatter.Errored},
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
			t.Errorf("status %d, body %s: outcome %s, want %s",
				tc.status, tc.body, outcomeNames[got], outcomeNames[tc.want])
		}
	}
}

// A replica finds a fault in a search. This is the client's answer only if the search is the client's own, without an
// aggregation that the coordinator added.
func TestBadRequestOfReplicaByPhase(t *testing.T) {
	const body = `{"error":{"type":"query_shard_exception"},"status":400}`
	for _, tc := range []struct {
		at   *core.Attempt
		want endedAttempt
	}{
		{&core.Attempt{}, endedAttempt{scatter.Succeeded, body}},
		{&core.Attempt{FirstPhase: true}, endedAttempt{outcome: scatter.Succeeded}},
		{&core.Attempt{WithVersion: true}, endedAttempt{outcome: scatter.Errored}},
	} {
		at := tc.at
		at.Origin = &search{index: &Index{name: "trails"}}
		outcome, value := recordAnswer(at, &http1.Message{Status: 400, Body: []byte(body)})
		got := endedAttempt{outcome, string(value)}
		if got != tc.want || at.Evidence.Readable {
			t.Errorf("first phase %v, with version %v: %v, want %v; evidence %+v",
				at.FirstPhase, at.WithVersion, got, tc.want, at.Evidence)
		}
	}
}

// httpAnswer returns the bytes of a replica's answer.
func httpAnswer(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// dialRefusingVersions returns a dialer to a replica that answers 400 to a search that requests the shard's version,
// and next to the following search on the same connection. bodies receives the bodies of both searches.
func dialRefusingVersions(next string, bodies chan<- string) http1.Dialer {
	return func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			for _, answer := range []string{httpAnswer(400, `{"error":{"type":"x"},"status":400}`), next} {
				request := make([]byte, 4<<10)
				n, _ := server.Read(request)
				_, body, _ := strings.Cut(string(request[:n]), "\r\n\r\n")
				bodies <- body
				server.Write([]byte(answer))
			}
		}()
		return client, nil
	}
}

// A client's own faulty search goes to a shard whose version is known, so the coordinator adds a request for the
// version. The replica's 400 may concern either. The search is sent once more as the client worded it, and a 400 to
// that search reaches the client. Before, it did not: the client received a missing shard or a failure.
func TestBadSearchOfVersionedShardReachesClient(t *testing.T) {
	const fault = `{"error":{"type":"query_shard_exception"},"status":400}`
	const found = `{"timed_out":false,"_shards":{"total":1,"successful":1,"failed":0},"hits":{"n":1}}`
	for _, tc := range []struct {
		next        string
		want        endedAttempt
		faultStatus int
	}{
		{httpAnswer(400, fault), endedAttempt{scatter.Succeeded, fault}, 400},
		{httpAnswer(200, found), endedAttempt{scatter.Succeeded, `{"n":1}`}, 0},
		{httpAnswer(500, fault), endedAttempt{outcome: scatter.Errored}, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			ended, bodies := make(endedAttempts, 1), make(chan string, 2)
			caller := &Caller{Reporter: ended, Config: &Config{SectionField: "section"}, ConnectTimeout: time.Second,
				KeepAlive: time.Minute, Dial: dialRefusingVersions(tc.next, bodies)}
			at := &core.Attempt{ReplicaID: "n", Timeout: time.Second, WithVersion: true, Origin: &search{
				index: &Index{name: "i"}, body: []byte(`{"own":1}`), versionedBody: []byte(`{"own":1,"aggs":{}}`)}}
			caller.Call(core.Endpoint{Replica: scatter.Replica{ID: "n"}, Address: "n"}, []*core.Attempt{at})
			if got := <-ended; got != tc.want || at.FaultStatus != tc.faultStatus || at.Evidence.Readable {
				t.Errorf("attempt %v with fault status %d, want %v", got, at.FaultStatus, tc.want)
			}
			if first, second := <-bodies, <-bodies; first != `{"own":1,"aggs":{}}` || second != `{"own":1}` {
				t.Errorf("replica received %s and %s, want the versioned and the plain body", first, second)
			}
			caller.CloseIdleConnections("n")
		})
	}
}
