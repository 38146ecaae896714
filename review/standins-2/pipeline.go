package main

import (
	"fmt"
	"io"
	"syscall"
	"time"
)

func init() {
	cases["pipeline"] = pipelineAtTerm
	cases["overflow"] = pipelineOverflow
}

// pipelineAtTerm: a client sends six requests at once on one connection; right after, a planned restart begins. Each
// of them is owed its own final answer.
func pipelineAtTerm(b *bench) (broken bool, err error) {
	conn, c, err := b.pipeline(300 * time.Millisecond)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	const requests = 6
	sent := time.Now()
	if err := conn.sendAtOnce(b.rec, requests); err != nil {
		return false, err
	}
	time.Sleep(100 * time.Millisecond)
	if b.trouble {
		c.signal(syscall.SIGTERM)
	}
	answered := conn.receiveAll(b.rec, requests, sent.Add(3500*time.Millisecond))
	b.rec.add("%d of %d requests have a final answer", answered, requests)
	return answered < requests, nil
}

// pipelineOverflow: a client sends twenty requests at once on one connection; without the trouble, one after the other.
func pipelineOverflow(b *bench) (broken bool, err error) {
	conn, _, err := b.pipeline(20 * time.Millisecond)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	const requests = 20
	answered, sent := 0, time.Now()
	if b.trouble {
		if err := conn.sendAtOnce(b.rec, requests); err != nil {
			return false, err
		}
		answered = conn.receiveAll(b.rec, requests, sent.Add(3500*time.Millisecond))
	} else {
		for range requests {
			if err := conn.sendAtOnce(b.rec, 1); err != nil {
				return false, err
			}
			answered += conn.receiveAll(b.rec, 1, time.Now().Add(3500*time.Millisecond))
		}
	}
	b.rec.add("%d of %d requests have a final answer", answered, requests)
	return answered < requests, nil
}

// pipeline starts a coordinator with three nodes that serve each part in a given time, and connects a client to it.
func (b *bench) pipeline(work time.Duration) (*client, *coordinator, error) {
	r := ring{3, 3, 6}
	_, list, err := b.startNodes(r, func(at *attempt) {
		time.Sleep(work)
		at.answer("S", valueOf(at.id))
	})
	if err != nil {
		return nil, nil, err
	}
	c, _, err := b.startOnPlatform("n1", list, settings(r, routeLookup, hazardReport, conditions))
	if err != nil {
		return nil, nil, err
	}
	conn, err := dialClient(c.listen)
	return conn, c, err
}

// sendAtOnce sends requests in one write.
func (c *client) sendAtOnce(rec *record, requests int) error {
	text := ""
	for range requests {
		q := request{id: fmt.Sprintf("9b1f%04d", c.sent), class: "route-lookup", budget: 3 * time.Second,
			shards: []int{c.sent % 6}}
		c.sent++
		text += q.text()
		rec.add("client: %s sent", q.id)
	}
	_, err := io.WriteString(c, text)
	return err
}

// receiveAll receives answers until the connection ends or an instant, and returns how many came.
func (c *client) receiveAll(rec *record, requests int, until time.Time) (answered int) {
	for range requests {
		r := c.receive(until)
		rec.add("client: %v; the connection ends with it: %v", r, r.close)
		if r.err != nil {
			break
		}
		answered++
	}
	return answered
}
