package faultinjection

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"harepass/internal/socket"
)

// This file is clients that do what clients do in production, and hold the coordinator to each request: they rest, leave, leave
// in the middle of a request, stall, and use the connections that they have until these end.

const (
	answerSlack      = 500 * time.Millisecond // an answer later than this after the client's time is a lost request
	connectAfterTerm = 400 * time.Millisecond // after SIGTERM new connections come for so long
	stallLimit       = 3 * time.Second        // by then a client that stalls has its error or its close
	longIdleTime     = 2100 * time.Millisecond
	idleTimeSpread   = 200 * time.Millisecond
	maxTimeToLeave   = 150 * time.Millisecond
	maxSlowThinkTime = 400 * time.Millisecond // of every other client between two requests, so that its connection rests
)

// judgedClient is one of a member's.
type strictClient struct {
	fleet                *Fleet
	member               *member
	client               httpClient
	rng                  *rand.Rand
	number               int
	requestsOnConnection int // requests on the present connection
	connectedAt          time.Time
}

// startJudged lets a member's judged clients begin, and connections that bring nothing.
func (f *Fleet) startStrictClients(m *member) {
	for who := range f.StrictClients {
		j := &strictClient{fleet: f, member: m, client: httpClient{address: m.clientAddress}, rng: rand.New(rand.NewPCG(uint64(m.ordinal), uint64(who))), number: who}
		m.clients.running.Go(j.run)
	}
	for range f.IdleConnections {
		m.clients.running.Go(func() { f.keepIdleConnection(m) })
	}
}

// idle keeps a connection that brings nothing, and opens another when it is ended.
func (f *Fleet) keepIdleConnection(m *member) {
	for !m.clients.stopped() {
		c, err := net.DialTimeout("tcp", m.clientAddress, time.Second)
		if err != nil {
			time.Sleep(pollInterval)
			continue
		}
		c.SetReadDeadline(time.Now().Add(longIdleTime / 4))
		io.Copy(io.Discard, c)
		c.Close()
	}
}

func (j *strictClient) run() {
	defer j.client.disconnect()
	for i := 0; !j.member.clients.stopped(); i++ {
		time.Sleep(j.thinkTime())
		if !j.connect() {
			time.Sleep(pollInterval)
			continue
		}
		q := j.fleet.site.query(j.number, i, j.fleet.shards())
		id := q.class.queryID(fmt.Sprintf("j%s-%d-%d", addressToID.Replace(j.member.clientAddress), j.number, i))
		switch n := j.rng.IntN(100); {
		case n < 12:
			j.leave(id, q, 1)
		case n < 16:
			j.leave(id, q, 0.5)
		case n < 17:
			j.stall(id, q)
		case n < 19:
			time.Sleep(longIdleTime + time.Duration(j.rng.Int64N(int64(idleTimeSpread))))
			j.sendQuery(id, q)
		default:
			j.sendQuery(id, q)
		}
	}
}

// pause is how long the client waits before its next request.
func (j *strictClient) thinkTime() time.Duration {
	if j.number%2 == 0 {
		return time.Duration(j.rng.Int64N(int64(maxThinkTime)))
	}
	return time.Duration(j.rng.Int64N(int64(maxSlowThinkTime)))
}

// connect opens a connection if there is none; not to a coordinator that was told to end a while ago.
func (j *strictClient) connect() bool {
	if j.client.conn != nil {
		return true
	}
	if told := j.member.terminatedAt.Load(); told > 0 && time.Since(time.Unix(0, told)) > connectAfterTerm {
		return false
	}
	conn, err := net.DialTimeout("tcp", j.member.clientAddress, time.Second)
	if err != nil {
		return false
	}
	j.client.setConnection(conn)
	j.requestsOnConnection, j.connectedAt = 0, time.Now()
	return true
}

// budget is how long the client waits.
func (j *strictClient) timeout() time.Duration {
	if j.fleet.Deadline > 0 {
		return min(clientTimeout, j.fleet.Deadline*9/10)
	}
	return clientTimeout
}

// leave sends a share of a request and closes a moment later.
func (j *strictClient) leave(id string, q query, share float64) {
	text := q.requestWithin(j.timeout(), id, j.fleet.site.tenant)
	j.fleet.checker.requestSent(id, time.Now().Add(j.timeout()))
	io.WriteString(j.client.conn, text[:int(share*float64(len(text)))])
	time.Sleep(time.Duration(j.rng.Int64N(int64(maxTimeToLeave))))
	j.client.disconnect()
	j.fleet.checker.clientLeft(id)
	j.member.clients.count("left")
}

// stall sends half a request and stays: it is owed an error or a close.
func (j *strictClient) stall(id string, q query) {
	text := q.requestWithin(j.timeout(), id, j.fleet.site.tenant)
	io.WriteString(j.client.conn, text[:len(text)/2])
	began := time.Now()
	j.client.conn.SetReadDeadline(began.Add(stallLimit + recordingSlack))
	_, err := io.Copy(io.Discard, j.client.conn)
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() && !j.killedSince(began) {
		j.addViolation(id, "stalled for %v and was not ended", time.Since(began))
	}
	j.client.disconnect()
	j.member.clients.count("stalled")
}

// ask sends a request and waits for its answer; once more on a new connection where the coordinator's end of it was there
// before the request was written. On loopback what is written is in the other socket at once: an end that comes later leaves
// a request that had come without its answer.
func (j *strictClient) sendQuery(id string, q query) {
	began := time.Now()
	j.requestsOnConnection++
	j.fleet.checker.requestSent(id, began.Add(j.timeout()))
	_, err := io.WriteString(j.client.conn, q.requestWithin(j.timeout(), id, j.fleet.site.tenant))
	crossed := err != nil || socket.PeerEnded(j.client.conn)
	var a answer
	var status string
	if err == nil {
		a, status, err = j.client.readAnswer()
	}
	took := time.Since(began)
	switch {
	case err == nil && j.isOverdue(took):
		j.addViolation(id, "was answered %v after it was sent, of %v", took, j.timeout())
	case err == nil:
		j.member.clients.count(status)
		if a.duplicated {
			j.member.clients.count(OutcomeDuplicateAnswer)
		}
		if status == "200" && !a.isCorrectFor(q) {
			j.member.clients.count(OutcomeWrongAnswer)
		}
	case j.killedSince(began):
		j.client.disconnect()
		j.member.clients.count("killed")
	case crossed:
		j.client.disconnect()
		j.member.clients.count("crossed")
		if j.connect() {
			j.sendQuery(id+"-again", q)
		}
	default:
		j.client.disconnect()
		j.addViolation(id, "was lost: sent on a connection with %d requests before, opened %v ago, ended %v later: %v", j.requestsOnConnection-1, time.Since(j.connectedAt).Round(time.Millisecond), took.Round(time.Millisecond), err)
	}
}

// late tells whether an answer that took so long came too late.
func (j *strictClient) isOverdue(took time.Duration) bool {
	slack, ok := j.fleet.schedulingDelay.slack()
	if !ok {
		j.fleet.checker.countUnjudged()
	}
	return ok && took > j.timeout()+answerSlack+slack
}

// excused tells whether the coordinator has been killed without a warning since a moment.
func (j *strictClient) killedSince(since time.Time) bool {
	return j.member.killedAt.Load() > since.Add(-pollInterval).UnixNano()
}

func (j *strictClient) addViolation(id, format string, args ...any) {
	r := &j.fleet.checker
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolation("%s of %s "+format, append([]any{id, j.member.name}, args...)...)
}
