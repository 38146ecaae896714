package scaletest

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"harepass/internal/test/faultinjection"
)

// network is the links between regions: one for each pair of a region and a process outside of it that the region's
// processes call. Where the plan says so, calls within a region go through links as well.
type network struct {
	plan *Plan

	mu    sync.Mutex
	links []*regionLink
}

// regionLink leads from a region to one process.
type regionLink struct {
	*faultinjection.Link
	from, to int // regions
}

// addressFrom returns the address by which processes of one region reach a process of another at its own address.
func (n *network) addressFrom(from, to int, address string) (string, error) {
	if from == to && !n.plan.Links.WithinRegions {
		return address, nil
	}
	link, err := faultinjection.NewLink(address)
	if err != nil {
		return "", err
	}
	if from != to {
		link.Delay(n.plan.Links.Delay)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links = append(n.links, &regionLink{link, from, to})
	return link.Address(), nil
}

// linksOf returns the links that lead out of a region or into it.
func (n *network) linksOf(region int) (links []*regionLink) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, link := range n.links {
		if link.from != link.to && (link.from == region || link.to == region) {
			links = append(links, link)
		}
	}
	return links
}

// isolate stalls what is sent between a region and all others; inboundOnly stalls just what is sent into the region.
func (n *network) isolate(region int, inboundOnly bool) {
	for _, link := range n.linksOf(region) {
		inbound, outbound := faultinjection.ToServer, faultinjection.ToClient
		if link.from == region {
			inbound, outbound = outbound, inbound
		}
		link.Cut(inbound, true)
		if !inboundOnly {
			link.Cut(outbound, true)
		}
	}
}

// heal ends the isolation of a region. Its connections break, like those to a machine that comes back after an outage.
func (n *network) heal(region int) {
	for _, link := range n.linksOf(region) {
		link.Cut(faultinjection.ToServer, false)
		link.Cut(faultinjection.ToClient, false)
		link.Reset()
	}
}

// injectLoss stalls or breaks a random link between regions at the plan's interval until ctx ends. Links of regions for
// which isIsolated is true are left alone.
func (n *network) injectLoss(ctx context.Context, rng *rand.Rand, isIsolated func(region int) bool) {
	loss := n.plan.Links.Loss
	if loss.Interval <= 0 {
		return
	}
	for {
		select {
		case <-time.After(loss.Interval):
		case <-ctx.Done():
			return
		}
		n.mu.Lock()
		links := slices.Clone(n.links)
		n.mu.Unlock()
		if len(links) == 0 {
			return
		}
		link := links[rng.IntN(len(links))]
		if link.from == link.to || isIsolated(link.from) || isIsolated(link.to) {
			continue
		}
		if rng.Float64() < loss.ResetShare {
			link.Reset()
			continue
		}
		link.stall(faultinjection.Direction(rng.IntN(2)), loss.StallDuration, isIsolated)
	}
}

// stall passes nothing in one direction for d. A region that has become isolated by then keeps its links stalled.
func (l *regionLink) stall(direction faultinjection.Direction, d time.Duration, isIsolated func(region int) bool) {
	l.Cut(direction, true)
	time.AfterFunc(d, func() {
		if !isIsolated(l.from) && !isIsolated(l.to) {
			l.Cut(direction, false)
		}
	})
}

// close closes all links.
func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, link := range n.links {
		link.Close()
	}
}
