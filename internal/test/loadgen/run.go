package loadgen

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// progressInterval is the time between two lines of progress.
const progressInterval = time.Second

// Bounds of the connections to the front.
const (
	maxIdleConnections    = 2000
	idleConnectionTimeout = 30 * time.Second
)

// run is a plan that is being played.
type run struct {
	*Plan
	client *http.Client
	began  time.Time
	counts *counts
}

// Run plays the plan and waits for all its clients. When ctx ends no more attempts begin, and the result of those
// before is returned without an error. The error wraps ErrInvalidPlan for a plan that cannot be played. Each second
// progress, where not nil, gets a line.
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
		clients.Go(func() { r.playClient(ctx, a) })
	}
	clients.Wait()
	return r.counts.finish(), nil
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: idleConnectionTimeout, DisableCompression: true,
	}}
}

// playClient sends a client's first attempt and its retries.
func (r *run) playClient(ctx context.Context, a arrival) {
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
