package platform

import (
	"fmt"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
)

// silentConnTest calls a replica one part at a time; part i has the id qi.0.
type silentConnTest struct {
	*fakeReplica
	attempts []*core.Attempt
}

func (p *silentConnTest) call() {
	p.attempts = append(p.attempts, &core.Attempt{QueryID: fmt.Sprint("q", len(p.attempts)), ReplicaID: "n"})
	p.caller.Call(replicaAt("n"), p.attempts[len(p.attempts)-1:])
	synctest.Wait()
}

// answer answers part i on the connection with the given number in the order of the dials.
func (p *silentConnTest) answer(i, conn int) {
	p.current = p.ends[conn]
	p.send(appendFrame(nil, frameAnswer, fmt.Appendf(nil, "q%d.0 S 7 -\nv", i)), 99)
}

func (p *silentConnTest) cancel(i int) {
	p.caller.Cancel(p.attempts[i])
	synctest.Wait()
}

// silentConnResult is what the replica received, and the outcomes of the attempts in order. An outstanding attempt has
// no outcome.
type silentConnResult struct {
	conns  int
	frames []string // kind and id: 1 is a call, 2 a cancellation
	ended  [][]scatter.Outcome
}

// untilSilent is the time after which a connection on which answers are awaited counts as silent.
const untilSilent = time.Second/10 + time.Millisecond

// The expected outcomes of an attempt.
var (
	endedServed    = []scatter.Outcome{scatter.Succeeded}
	endedCancelled = []scatter.Outcome{scatter.Cancelled}
)

var silentConnCases = []struct {
	name string
	run  func(p *silentConnTest)
	want silentConnResult
}{
	{"avoided, then closed after later calls were answered elsewhere", func(p *silentConnTest) {
		p.call()
		time.Sleep(untilSilent)
		for i := 1; i <= answersToClose; i++ {
			p.call()
			p.answer(i, 1)
		}
	}, silentConnResult{2, []string{"1q0.0", "1q1.0", "1q2.0", "1q3.0"},
		[][]scatter.Outcome{endedCancelled, endedServed, endedServed, endedServed}}},
	{"not closed: the calls answered elsewhere were sent before the silence", func(p *silentConnTest) {
		p.call()
		time.Sleep(untilSilent)
		for range answersToClose {
			p.call()
		}
		p.answer(0, 0)
		p.call()
		time.Sleep(untilSilent)
		for i := 1; i <= answersToClose; i++ {
			p.answer(i, 1)
		}
	}, silentConnResult{2, []string{"1q0.0", "1q1.0", "1q2.0", "1q3.0", "1q4.0"},
		[][]scatter.Outcome{endedServed, endedServed, endedServed, endedServed, nil}}},
	{"a replica that is silent on all connections", func(p *silentConnTest) {
		for range maxSilentConns + 3 {
			p.call()
			time.Sleep(untilSilent)
		}
	}, silentConnResult{4, []string{"1q0.0", "1q1.0", "1q2.0", "1q3.0", "1q4.0", "1q5.0", "1q6.0"},
		make([][]scatter.Outcome, maxSilentConns+3)}},
	{"cancelled during the silence", func(p *silentConnTest) {
		p.call()
		p.call()
		time.Sleep(untilSilent)
		p.cancel(0)
		p.call()
	}, silentConnResult{2, []string{"1q0.0", "1q1.0", "1q2.0"},
		[][]scatter.Outcome{endedCancelled, endedCancelled, nil}}},
	{"cancelled before the silence, and after another answer", func(p *silentConnTest) {
		p.call()
		p.call()
		p.call()
		p.cancel(0)
		time.Sleep(untilSilent)
		p.answer(1, 0)
		p.cancel(2)
		p.call()
	}, silentConnResult{1, []string{"1q0.0", "1q1.0", "1q2.0", "2q0.0", "2q2.0", "1q3.0"},
		[][]scatter.Outcome{endedCancelled, endedServed, endedCancelled, nil}}},
}

// A connection can fall silent without an error while its replica answers on others. New calls then use another
// connection, while there are few silent ones. The silent connection is closed once later calls have been answered
// elsewhere, and its attempts end. Cancelling an attempt on it also closes it, since the replica might never read the
// cancellation while the part runs at another replica. If an answer has arrived on the connection since, the
// cancellation is sent.
func TestSilentConnections(t *testing.T) {
	for _, tc := range silentConnCases {
		synctest.Test(t, func(t *testing.T) {
			p := &silentConnTest{fakeReplica: newFakeReplica(32)}
			tc.run(p)
			got := silentConnResult{conns: p.connCount, frames: p.frames}
			for _, at := range p.attempts {
				got.ended = append(got.ended, p.ended[at])
			}
			if !reflect.DeepEqual(got, tc.want) {
				t.Errorf("%s:\n got %+v\nwant %+v", tc.name, got, tc.want)
			}
			p.caller.Close()
			synctest.Wait()
		})
	}
}
