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
	lateAnswer   = 500 * time.Millisecond // an answer later than this after the client's time is a lost request
	newConnTime  = 400 * time.Millisecond // after SIGTERM new connections come for so long
	badClientEnd = 3 * time.Second        // by then a client that stalls has its error or its close
	longRest     = 2100 * time.Millisecond
	restSpread   = 200 * time.Millisecond
	soonLeave    = 150 * time.Millisecond
	slowPause    = 400 * time.Millisecond // of every other client between two requests, so that its connection rests
)

// judgedClient is one of a member's.
type judgedClient struct {
	f      *Fleet
	m      *Member
	client httpClient
	rng    *rand.Rand
	who    int
	asked  int // requests on the present connection
	opened time.Time
}

// startJudged lets a member's judged clients begin, and connections that bring nothing.
func (f *Fleet) startJudged(m *Member) {
	for who := range f.Judged {
		j := &judgedClient{f: f, m: m, client: httpClient{address: m.listen}, rng: rand.New(rand.NewPCG(uint64(m.no), uint64(who))), who: who}
		m.crowd.wg.Go(j.run)
	}
	for range f.Idle {
		m.crowd.wg.Go(func() { f.idle(m) })
	}
}

// idle keeps a connection that brings nothing, and opens another when it is ended.
func (f *Fleet) idle(m *Member) {
	for !m.crowd.ended() {
		c, err := net.DialTimeout("tcp", m.listen, time.Second)
		if err != nil {
			time.Sleep(look)
			continue
		}
		c.SetReadDeadline(time.Now().Add(longRest / 4))
		io.Copy(io.Discard, c)
		c.Close()
	}
}

func (j *judgedClient) run() {
	defer j.client.disconnect()
	for i := 0; !j.m.crowd.ended(); i++ {
		time.Sleep(j.pause())
		if !j.connect() {
			time.Sleep(look)
			continue
		}
		q := j.f.site.ask(j.who, i, j.f.sections())
		id := q.class.id(fmt.Sprintf("j%s-%d-%d", name.Replace(j.m.listen), j.who, i))
		switch n := j.rng.IntN(100); {
		case n < 12:
			j.leave(id, q, 1)
		case n < 16:
			j.leave(id, q, 0.5)
		case n < 17:
			j.stall(id, q)
		case n < 19:
			time.Sleep(longRest + time.Duration(j.rng.Int64N(int64(restSpread))))
			j.ask(id, q)
		default:
			j.ask(id, q)
		}
	}
}

// pause is how long the client waits before its next request.
func (j *judgedClient) pause() time.Duration {
	if j.who%2 == 0 {
		return time.Duration(j.rng.Int64N(int64(maxPause)))
	}
	return time.Duration(j.rng.Int64N(int64(slowPause)))
}

// connect opens a connection if there is none; not to a coordinator that was told to end a while ago.
func (j *judgedClient) connect() bool {
	if j.client.conn != nil {
		return true
	}
	if told := j.m.turnedTo.Load(); told > 0 && time.Since(time.Unix(0, told)) > newConnTime {
		return false
	}
	conn, err := net.DialTimeout("tcp", j.m.listen, time.Second)
	if err != nil {
		return false
	}
	j.client.take(conn)
	j.asked, j.opened = 0, time.Now()
	return true
}

// budget is how long the client waits.
func (j *judgedClient) budget() time.Duration {
	if j.f.Deadline > 0 {
		return min(budget, j.f.Deadline*9/10)
	}
	return budget
}

// leave sends a share of a request and closes a moment later.
func (j *judgedClient) leave(id string, q question, share float64) {
	text := q.requestWithin(j.budget(), id, j.f.site.tenant)
	j.f.records.asks(id, time.Now().Add(j.budget()))
	io.WriteString(j.client.conn, text[:int(share*float64(len(text)))])
	time.Sleep(time.Duration(j.rng.Int64N(int64(soonLeave))))
	j.client.disconnect()
	j.f.records.leaves(id)
	j.m.crowd.count("left")
}

// stall sends half a request and stays: it is owed an error or a close.
func (j *judgedClient) stall(id string, q question) {
	text := q.requestWithin(j.budget(), id, j.f.site.tenant)
	io.WriteString(j.client.conn, text[:len(text)/2])
	began := time.Now()
	j.client.conn.SetReadDeadline(began.Add(badClientEnd + recordSlack))
	_, err := io.Copy(io.Discard, j.client.conn)
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() && !j.excused(began) {
		j.breach(id, "stalled for %v and was not ended", time.Since(began))
	}
	j.client.disconnect()
	j.m.crowd.count("stalled")
}

// ask sends a request and waits for its answer; once more on a new connection where the coordinator's end of it was there
// before the request was written. On loopback what is written is in the other socket at once: an end that comes later leaves
// a request that had come without its answer.
func (j *judgedClient) ask(id string, q question) {
	began := time.Now()
	j.asked++
	j.f.records.asks(id, began.Add(j.budget()))
	_, err := io.WriteString(j.client.conn, q.requestWithin(j.budget(), id, j.f.site.tenant))
	crossed := err != nil || socket.PeerClosed(j.client.conn)
	var a answer
	var status string
	if err == nil {
		a, status, err = j.client.answer()
	}
	took := time.Since(began)
	switch {
	case err == nil && j.late(took):
		j.breach(id, "was answered %v after it was sent, of %v", took, j.budget())
	case err == nil:
		j.m.crowd.count(status)
		if a.twice {
			j.m.crowd.count(OutcomeTwice)
		}
		if status == "200" && !a.holds(q) {
			j.m.crowd.count(OutcomeUntrue)
		}
	case j.excused(began):
		j.client.disconnect()
		j.m.crowd.count("killed")
	case crossed:
		j.client.disconnect()
		j.m.crowd.count("crossed")
		if j.connect() {
			j.ask(id+"-again", q)
		}
	default:
		j.client.disconnect()
		j.breach(id, "was lost: sent on a connection with %d requests before, opened %v ago, ended %v later: %v", j.asked-1, time.Since(j.opened).Round(time.Millisecond), took.Round(time.Millisecond), err)
	}
}

// late tells whether an answer that took so long came too late.
func (j *judgedClient) late(took time.Duration) bool {
	slack, ok := j.f.lateness.slack()
	if !ok {
		j.f.records.notJudged()
	}
	return ok && took > j.budget()+lateAnswer+slack
}

// excused tells whether the coordinator has been killed without a warning since a moment.
func (j *judgedClient) excused(since time.Time) bool {
	return j.m.killedAt.Load() > since.Add(-look).UnixNano()
}

func (j *judgedClient) breach(id, format string, args ...any) {
	r := &j.f.records
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breach("%s of %s "+format, append([]any{id, j.m.name}, args...)...)
}
