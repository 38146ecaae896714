package platform

import (
	"fmt"
	"net"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
)

// Three replicas send large answers, and the first one does not end its own. When the incomplete answers take more
// memory than they may, the connection with the first one is closed: its attempt ends as Cancelled, which does not
// count against its replica, and the others get their answers. Small answers need none of that memory.
func TestIncompleteAnswersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFakeReplica(1)
		r.caller.ResponseTimeout, r.caller.MaxAnswerBytes = time.Hour, 130<<10
		before := connsEndedForMemory.Value()
		var attempts []*core.Attempt
		var ends []net.Conn
		for i := range 4 {
			id := fmt.Sprint("r", i)
			at := &core.Attempt{QueryID: id, ReplicaID: id}
			r.caller.Call(replicaAt(id), []*core.Attempt{at})
			synctest.Wait()
			attempts, ends = append(attempts, at), append(ends, r.current)
		}
		answers := make([][]byte, len(attempts))
		for i := range answers {
			answers[i] = appendFrame(nil, frameAnswer, fmt.Appendf(nil, "r%d.0 S 1 -\n%s", i, strings.Repeat("v", 60<<10)))
		}
		sendTo := func(i int, data []byte) {
			r.current = ends[i]
			r.send(data, 1<<10)
			time.Sleep(time.Millisecond)
		}
		const nearlyAll = 58 << 10
		sendTo(0, answers[0][:nearlyAll])
		sendTo(1, answers[1][:nearlyAll])
		sendTo(3, appendFrame(nil, frameAnswer, []byte("r3.0 S 1 -\nv")))
		sendTo(2, answers[2])
		sendTo(1, answers[1][nearlyAll:])
		var got [][]scatter.Outcome
		for _, at := range attempts {
			got = append(got, r.outcomes(at))
		}
		want := [][]scatter.Outcome{{scatter.Cancelled}, {scatter.Succeeded}, {scatter.Succeeded}, {scatter.Succeeded}}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("outcomes %v, want %v", got, want)
		}
		if n := connsEndedForMemory.Value() - before; n != 1 || r.caller.answerBytes != 0 {
			t.Errorf("%d connections closed for memory, %d bytes charged at the end; want 1 and 0", n, r.caller.answerBytes)
		}
		r.caller.Close()
	})
}
