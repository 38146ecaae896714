package platform

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
)

// modelAttempt is the state of one attempt in the model.
type modelAttempt struct {
	at        *core.Attempt
	written   bool              // its last byte has been written
	begun     bool              // its first byte may have been written
	cancelled bool              // Cancel was called for it
	conn      int               // number of the connection that carried it
	outcome   []scatter.Outcome // expected outcome; empty while the attempt is outstanding
}

// callerModel predicts the outcome of each attempt of a Caller by the protocol's table, with one connection at a time.
type callerModel struct {
	*fakeReplica
	all           []*modelAttempt
	stoppedReader bool // the replica does not read
	writeWaits    bool // a write waits for the replica to read
	needsConn     bool // the next call has to open a connection
}

// maxFuzzSteps bounds the input of a run, in bytes; a step takes two.
const maxFuzzSteps = 80

// FuzzCaller runs a random sequence of calls, cancellations, answers, broken and refused connections, with a replica
// that may stop reading. Each attempt has to end exactly once, as the protocol's table says: an attempt that never ends
// would keep a query waiting, and one that ends twice could count a part as run that was not.
func FuzzCaller(f *testing.F) {
	f.Add([]byte{0, 0, 2, 0, 0, 1, 3, 0})
	f.Add([]byte{0, 0, 7, 0, 0, 0, 1, 1, 4, 0})
	f.Add([]byte{7, 0, 0, 0, 0, 0, 1, 0, 7, 0, 2, 1})
	for kind := range byte(11) { // each kind of malformed answer: alone, beside others, and while a write waits
		f.Add([]byte{0, 0, 3, kind, 0, 1, 0, 2, 2, 0, 3, kind + 11, 0, 3, 0, 4, 7, 0, 0, 5, 3, kind + 22, 0, 6, 2, 0})
	}
	f.Add([]byte{0, 0, 2, 9, 0, 1, 0, 2, 2, 9, 0, 3, 0, 4, 2, 18, 5, 0, 2, 18, 5, 0})
	f.Fuzz(func(t *testing.T, steps []byte) {
		synctest.Test(t, func(t *testing.T) { runSteps(t, steps[:min(len(steps), maxFuzzSteps)]) })
	})
}

// runSteps runs steps, each of a kind and an argument, and compares the Caller with the model after each.
func runSteps(t *testing.T, steps []byte) {
	m := &callerModel{fakeReplica: newFakeReplica(4), needsConn: true}
	for i := 0; i+1 < len(steps); i += 2 {
		m.step(steps[i]%9, int(steps[i+1]))
		synctest.Wait()
		for k, w := range m.all {
			if got := m.outcomes(w.at); fmt.Sprint(got) != fmt.Sprint(w.outcome) {
				t.Fatalf("%v, step %d: attempt %d ended %v, want %v", steps, i/2, k, got, w.outcome)
			}
		}
	}
	m.caller.Close()
	synctest.Wait()
	for k, w := range m.all {
		if len(m.ended[w.at]) != 1 {
			t.Errorf("attempt %d has the outcomes %v after Close, want exactly one", k, m.ended[w.at])
		}
	}
	if m.current != nil {
		m.current.Close()
	}
}

// step runs one step. A step that needs an attempt or a connection does nothing if there is none.
func (m *callerModel) step(kind byte, arg int) {
	var chosen *modelAttempt
	if outstanding := m.outstanding(); len(outstanding) > 0 {
		chosen = outstanding[arg%len(outstanding)]
	}
	switch kind {
	case 0:
		m.call(arg)
	case 1:
		m.cancel(chosen)
	case 2:
		m.answer(chosen, arg)
	case 3:
		m.sendMalformed(chosen, arg)
	case 4:
		m.breakConn(arg)
	case 5:
		m.answerAgain()
	case 6:
		m.refuses = !m.refuses
	case 7:
		m.toggleReading()
	case 8: // a pause after which an idle connection is not reused
		if len(m.outstanding()) == 0 && !m.stoppedReader {
			time.Sleep(25 * time.Second)
			m.needsConn = true
		}
	}
}

// outstanding returns the attempts that have no outcome yet.
func (m *callerModel) outstanding() (list []*modelAttempt) {
	for _, w := range m.all {
		if len(w.outcome) == 0 {
			list = append(list, w)
		}
	}
	return list
}

// endAll ends all outstanding attempts: with one outcome those that were not written, with the other the rest.
func (m *callerModel) endAll(unwritten, written scatter.Outcome) {
	for _, w := range m.outstanding() {
		w.outcome = []scatter.Outcome{unwritten}
		if w.written {
			w.outcome[0] = written
		}
	}
	m.stoppedReader, m.writeWaits, m.needsConn = false, false, true
}

// discardConn ends the connection because of a malformed answer. The answer belongs to malformedFrom or, if it is nil,
// to the only attempt that has begun. Only the outcome of that attempt counts against the replica.
func (m *callerModel) discardConn(malformedFrom *modelAttempt) {
	var begun []*modelAttempt
	for _, w := range m.outstanding() {
		if w.begun {
			begun = append(begun, w)
		}
	}
	if malformedFrom == nil && len(begun) == 1 {
		malformedFrom = begun[0]
	}
	if malformedFrom != nil {
		malformedFrom.outcome = []scatter.Outcome{scatter.Errored}
	}
	m.endAll(scatter.NotSent, scatter.Cancelled)
}

// call makes a call of one part, unless that would take a second connection: TestCallsPerConnection covers those.
func (m *callerModel) call(shard int) {
	if len(m.outstanding()) == m.caller.CallsPerConn {
		return
	}
	at := &core.Attempt{QueryID: fmt.Sprintf("q%d", len(m.all)), Shard: shard, Body: []byte("t"), Timeout: time.Second,
		ReplicaID: "n"}
	w := &modelAttempt{at: at, written: !m.stoppedReader, begun: !m.writeWaits}
	m.all = append(m.all, w)
	if m.refuses && m.needsConn {
		w.outcome = []scatter.Outcome{scatter.ConnectFailed}
	} else {
		m.needsConn, m.writeWaits = false, m.stoppedReader
	}
	m.caller.Call(replicaAt("n"), []*core.Attempt{at})
	synctest.Wait()
	w.conn = m.connCount
}

// cancel cancels an attempt. If the attempt was cancelled before and its cancellation still waits to be written, the
// Caller has to close the connection instead.
func (m *callerModel) cancel(w *modelAttempt) {
	if w == nil {
		return
	}
	m.caller.Cancel(w.at)
	if w.cancelled {
		m.endAll(scatter.NotSent, scatter.Cancelled)
		return
	}
	w.cancelled = true
	if m.writeWaits = m.stoppedReader; !m.stoppedReader {
		w.outcome = []scatter.Outcome{scatter.Cancelled}
	}
}

// answer answers an attempt with one of several load reports, and may send more bytes than belong to the answer.
func (m *callerModel) answer(w *modelAttempt, arg int) {
	if w == nil || !w.written {
		return
	}
	w.outcome = []scatter.Outcome{[]scatter.Outcome{scatter.Succeeded, scatter.Errored, scatter.Rejected}[arg%3]}
	loadReport := []string{"-", "", "\xff = ,"}[arg/3%3]
	body := fmt.Appendf(nil, "%s %c 7 %s\nvalue", partID(w.at), "SEB"[arg%3], loadReport)
	frame := appendFrame(nil, frameAnswer, body)
	behind := [][]byte{nil, {0, 0, 0, 0}, frame}[arg/9%3]
	if behind == nil {
		m.send(frame, arg%9)
		return
	}
	m.send(slices.Concat(frame, behind), 1<<20)
	if len(m.outstanding()) == 0 {
		m.endAll(0, 0)
	} else if behind[0] == 0 {
		m.discardConn(nil)
	}
}

// sendMalformed sends bytes that are not a frame of the protocol, or a frame that answers no outstanding attempt.
func (m *callerModel) sendMalformed(w *modelAttempt, arg int) {
	if m.needsConn {
		return
	}
	id := "x.1"
	if w != nil && w.begun {
		id = partID(w.at)
	} else {
		w = nil
	}
	size := arg / 11 % 3
	switch kind := arg % 11; kind {
	case 0:
		m.send([]byte{0, 0, 0, 0}, size)
	case 1:
		m.send([]byte{255, 255, 255, 255}, size)
	case 2:
		m.send(appendFrame(nil, frameAnswer, []byte("x")), size)
	case 3:
		m.send(appendFrame(nil, frameAnswer, []byte("x Q 0 -\n")), size)
	case 4:
		m.send(appendFrame(nil, 9, nil), size)
	case 5:
		m.send(appendFrame(nil, frameAnswer, []byte("nobody.1 S 0 -\nvalue")), size)
	case 6: // the replica says that it closes the connection
		m.send(appendFrame(nil, frameError, []byte("bad")), size)
		m.endAll(scatter.ConnectFailed, scatter.ConnectionReset)
		return
	default:
		m.sendMalformedAnswer(id, kind, size)
		m.discardConn(w)
		return
	}
	m.discardConn(nil)
}

// sendMalformedAnswer sends an answer that names its part and is malformed behind the name.
func (m *callerModel) sendMalformedAnswer(id string, kind, size int) {
	switch kind {
	case 7: // a value of 3 GB
		m.send(append([]byte{0, 94, 208, 178, '5'}, id+" S 7 -\nvvvv"...), 1<<20)
	case 8: // an answer that never ends
		m.send(append([]byte{99, 0, 0, 0, '5'}, id+" S 7 -\nvvvv"...), size)
		time.Sleep(time.Second)
		synctest.Wait()
	case 9: // no outcome
		m.send(appendFrame(nil, frameAnswer, []byte(id+"  7 -\nvalue")), 1<<20)
	case 10: // a value that is not UTF-8
		m.send(appendFrame(nil, frameAnswer, []byte(id+" S 7 -\n\xfe\xff")), 1<<20)
	}
}

// breakConn closes the connection from the replica's side, possibly inside a frame.
func (m *callerModel) breakConn(arg int) {
	if m.needsConn {
		return
	}
	m.send([]byte{9, 0, 0, 0, '5', 'x'}[:arg%7], 1)
	m.current.Close()
	m.endAll(scatter.ConnectFailed, scatter.ConnectionReset)
}

// answerAgain sends a second answer to an attempt that has ended on the open connection, which is not a fault.
func (m *callerModel) answerAgain() {
	for _, w := range m.all {
		if len(w.outcome) > 0 && w.conn == m.connCount && !m.needsConn {
			m.send(appendFrame(nil, frameAnswer, []byte(partID(w.at)+" S 0 -\nother")), 1<<20)
			return
		}
	}
}

// toggleReading makes the replica stop reading, or read again. The writes that waited are then completed, except those
// of attempts that were cancelled before their first byte.
func (m *callerModel) toggleReading() {
	if m.needsConn {
		return
	}
	if !m.stoppedReader {
		m.stopReading()
	} else {
		m.readAgain()
		for _, w := range m.outstanding() {
			switch {
			case w.cancelled && w.begun:
				w.outcome = []scatter.Outcome{scatter.Cancelled}
			case w.cancelled:
				w.outcome = []scatter.Outcome{scatter.NotSent}
			default:
				w.written, w.begun = true, true
			}
		}
	}
	m.stoppedReader, m.writeWaits = !m.stoppedReader, false
}
