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

// silentConnPlay calls a replica one part at a time; part i has the id qi.0.
type silentConnPlay struct {
	*fakeReplica
	attempts []*core.Attempt
}

func (p *silentConnPlay) call() {
	p.attempts = append(p.attempts, &core.Attempt{QueryID: fmt.Sprint("q", len(p.attempts)), Endpoint: "n"})
	p.caller.Call(replicaAt("n"), p.attempts[len(p.attempts)-1:])
	synctest.Wait()
}

// answer answers part i on a connection, by the order of the dials.
func (p *silentConnPlay) answer(i, conn int) {
	p.current = p.ends[conn]
	p.send(appendFrame(nil, frameAnswer, fmt.Appendf(nil, "q%d.0 S 7 -\nv", i)), 99)
}

func (p *silentConnPlay) cancel(i int) {
	p.caller.Cancel(p.attempts[i])
	synctest.Wait()
}

// silentConnResult is what a replica saw, and what became of the attempts in their order; an attempt that is still out
// has no outcome.
type silentConnResult struct {
	conns  int
	frames []string // by letter and id: 1 is a call, 2 a cancellation
	ended  [][]scatter.Outcome
}

// untilSilent is a pause after which a connection on which answers are awaited counts as silent.
const untilSilent = time.Second/10 + time.Millisecond

// The outcomes of an attempt, as a list.
var (
	endedServed    = []scatter.Outcome{scatter.Succeeded}
	endedCancelled = []scatter.Outcome{scatter.Cancelled}
)

var silentConnCases = []struct {
	name string
	play func(p *silentConnPlay)
	want silentConnResult
}{
	{"passed over, then closed when later calls were answered", func(p *silentConnPlay) {
		p.call()
		time.Sleep(untilSilent)
		for i := 1; i <= answersToClose; i++ {
			p.call()
			p.answer(i, 1)
		}
	}, silentConnResult{2, []string{"1q0.0", "1q1.0", "1q2.0", "1q3.0"},
		[][]scatter.Outcome{endedCancelled, endedServed, endedServed, endedServed}}},
	{"not closed: what was answered was sent before the silence", func(p *silentConnPlay) {
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
	{"a replica that is silent on all connections", func(p *silentConnPlay) {
		for range maxSilentConns + 3 {
			p.call()
			time.Sleep(untilSilent)
		}
	}, silentConnResult{4, []string{"1q0.0", "1q1.0", "1q2.0", "1q3.0", "1q4.0", "1q5.0", "1q6.0"},
		make([][]scatter.Outcome, maxSilentConns+3)}},
	{"cancelled in the silence", func(p *silentConnPlay) {
		p.call()
		p.call()
		time.Sleep(untilSilent)
		p.cancel(0)
		p.call()
	}, silentConnResult{2, []string{"1q0.0", "1q1.0", "1q2.0"},
		[][]scatter.Outcome{endedCancelled, endedCancelled, nil}}},
	{"cancelled before the silence, and after another answer", func(p *silentConnPlay) {
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

// A connection falls silent without any error, while its replica answers on others. New calls go on another connection,
// a few such at most. When later calls have been answered there, the silent one is closed and its attempts end. An
// attempt that is cancelled on it closes it too, since the cancellation might never be read while the part runs at
// another replica; on a connection that was heard since, the cancellation is sent.
func TestSilentConnections(t *testing.T) {
	for _, tc := range silentConnCases {
		synctest.Test(t, func(t *testing.T) {
			p := &silentConnPlay{fakeReplica: newFakeReplica(32)}
			tc.play(p)
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
