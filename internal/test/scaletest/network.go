package scaletest

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"harepass/internal/test/faultinjection"
)

// network holds the links between regions: one for each pair of a region and an external process that the region's
// processes call. If the plan sets Links.WithinRegions, calls within a region also go through links.
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

// addressFrom returns the address that processes of region from use for the process at address in region to. It is the
// address of a new link, or address itself for a direct connection within a region.
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

// linksOf returns the links between a region and all others, in both directions.
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

// isolate stalls all data between a region and the others. With inboundOnly, it stalls only the data sent into the
// region.
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

// heal ends the isolation of a region. It resets the region's connections, as connections to a machine break when the
// machine returns after an outage.
func (n *network) heal(region int) {
	for _, link := range n.linksOf(region) {
		link.Cut(faultinjection.ToServer, false)
		link.Cut(faultinjection.ToClient, false)
		link.Reset()
	}
}

// injectLoss stalls a random link between regions, or resets its connections, at the plan's interval until ctx ends. It
// skips links of regions for which isIsolated is true.
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

// stall stalls the link in one direction for d. If one of the link's regions is isolated when d has passed, the link
// stays stalled.
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
