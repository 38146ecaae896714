package scaletest

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"harepass/internal/test/faultinjection"
)

// network is the ways between regions: one link for each region and each server outside of it, or for all of them where
// the plan says so.
type network struct {
	plan *Plan

	mu    sync.Mutex
	links []*regionLink
}

// way leads from a region to a server.
type regionLink struct {
	*faultinjection.Link
	from, to int // regions
}

// to gives the address at which a server can be reached from a region.
func (n *network) addressFrom(from, region int, address string) (string, error) {
	if from == region && !n.plan.Links.WithinRegions {
		return address, nil
	}
	link, err := faultinjection.NewLink(address)
	if err != nil {
		return "", err
	}
	if from != region {
		link.Delay(n.plan.Links.Delay)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links = append(n.links, &regionLink{link, from, region})
	return link.Address(), nil
}

// between lists the links that leave a region or lead into it.
func (n *network) linksOf(region int) (some []*regionLink) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.links {
		if w.from != w.to && (w.from == region || w.to == region) {
			some = append(some, w)
		}
	}
	return some
}

// cut holds what goes between a region and all others; one-sided, only what goes into it.
func (n *network) isolate(region int, oneSided bool) {
	for _, w := range n.linksOf(region) {
		into := faultinjection.ToServer
		if w.from == region {
			into = faultinjection.ToClient
		}
		w.Cut(into, true)
		if !oneSided {
			w.Cut(1-into, true)
		}
	}
}

// heal ends a cut. Connections that stood through it break, as they do once a machine is back that has been away.
func (n *network) heal(region int) {
	for _, w := range n.linksOf(region) {
		w.Cut(faultinjection.ToServer, false)
		w.Cut(faultinjection.ToClient, false)
		w.Reset()
	}
}

// lose holds up or breaks links between regions as the plan says, until ctx ends.
func (n *network) injectLoss(ctx context.Context, rng *rand.Rand, cutOff func(region int) bool) {
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
		w := links[rng.IntN(len(links))]
		if w.from == w.to || cutOff(w.from) || cutOff(w.to) {
			continue
		}
		if rng.Float64() < loss.ResetShare {
			w.Reset()
			continue
		}
		direction := faultinjection.Direction(rng.IntN(2))
		w.Cut(direction, true)
		time.AfterFunc(loss.StallDuration, func() {
			if !cutOff(w.from) && !cutOff(w.to) {
				w.Cut(direction, false)
			}
		})
	}
}

// close ends all links.
func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.links {
		w.Close()
	}
}
