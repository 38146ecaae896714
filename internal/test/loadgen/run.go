package loadgen

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// progressInterval is the time between two progress lines.
const progressInterval = time.Second

// Limits of the connections to the front.
const (
	maxIdleConnections    = 2000
	idleConnectionTimeout = 30 * time.Second
)

// run is one execution of a plan.
type run struct {
	*Plan
	client *http.Client
	began  time.Time
	counts *counts
}

// Run sends the traffic of the plan and waits until all its clients have finished. Once ctx ends, no more attempts
// begin, and Run returns the result of the earlier ones without an error. The error wraps ErrInvalidPlan if the plan
// cannot be run. If progress is not nil, it gets a line each second.
func (p *Plan) Run(ctx context.Context, progress io.Writer) (*Result, error) {
	if err := p.validate(); err != nil {
		return nil, err
	}
	r := &run{Plan: p, client: newClient(), counts: newCounts(p)}
	defer r.client.CloseIdleConnections()
	arrivals := p.arrivals()
	var clients sync.WaitGroup
	r.began = time.Now()
	reported := time.Duration(0)
	for _, a := range arrivals {
		time.Sleep(time.Until(r.began.Add(a.at)))
		if ctx.Err() != nil {
			break
		}
		if progress != nil && a.at-reported >= progressInterval {
			reported = a.at
			r.counts.report(progress, reported)
		}
		clients.Go(func() { r.runClient(ctx, a) })
	}
	clients.Wait()
	return r.counts.finish(), nil
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: idleConnectionTimeout, DisableCompression: true,
	}}
}

// runClient sends a client's first attempt and its retries.
func (r *run) runClient(ctx context.Context, a arrival) {
	r.counts.arrive(a)
	for number := 0; ; number++ {
		due := time.Since(r.began)
		if number == 0 {
			due = a.at
		}
		status, retryAfter := r.send(ctx, r.Classes[a.class], r.Tenants[a.tenant], a.shard)
		latency := time.Since(r.began) - due
		retries := status == http.StatusTooManyRequests && number < r.Retries && due+latency+retryAfter < r.Duration
		r.counts.attemptEnded(a, attemptResult{status: status, due: due, latency: latency, retries: retries})
		if !retries {
			return
		}
		time.Sleep(retryAfter)
	}
}
