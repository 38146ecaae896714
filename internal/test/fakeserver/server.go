// Package fakeserver emulates the replicas of an inventory on real sockets with loopback addresses. It is for the
// laboratory only.
package fakeserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"harepass/internal/inventory"
	"harepass/internal/platform"
	"harepass/internal/test/fake"
	"harepass/internal/test/fakedata"
)

// ErrNotLoopback reports that a host of an inventory does not have a loopback address.
var ErrNotLoopback = errors.New("not a loopback address")

// Config configures the emulated replicas. All of them serve the same data.
type Config struct {
	Inventory      string        // CSV or YAML file of the replicas
	Data           string        // YAML file of the trails; if empty, they are drawn from Seed
	Seed           uint64        // seed of all random draws
	Shards         int           // number of shards of drawn data
	RingSize       int           // positions of the ring
	WorkUnit       time.Duration // duration of a unit of work; 0 for no time
	ChangeInterval time.Duration // time between changes of the data; 0 for no changes
}

const (
	coresPerReplica = 2
	trailsPerShard  = 8 // of drawn data

	// changeStream separates the random draws of changes from other draws with the same seed.
	changeStream = 0x736572
)

// Serve listens on every address of the inventory and serves until ctx ends or the process receives SIGINT or SIGTERM.
// It writes a line to out for each replica. The error wraps ErrNotLoopback if a host has any other address, and
// fakedata.ErrInvalidData if the file of trails is invalid.
func (c Config) Serve(ctx context.Context, out io.Writer) error {
	var background sync.WaitGroup
	defer background.Wait() // deferred first, so that it runs after the listeners are closed and ctx has ended
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	trails, err := c.trails()
	if err != nil {
		return err
	}
	hosts, err := inventory.Load(c.Inventory, "", c.RingSize)
	if err != nil {
		return err
	}
	data := trails.Data(false)
	for _, h := range hosts {
		l, err := c.listen(h.Name, h.Address)
		if err != nil {
			return err
		}
		defer l.Close()
		replica := &fake.Replicas{Data: data, WorkUnit: c.WorkUnit, Cores: coresPerReplica}
		serve := replica.ServeAPI
		if h.API == platform.Scheme {
			serve = replica.ServeFrames
		}
		background.Go(func() { serve(l) })
		fmt.Fprintf(out, "%s on %s, cell %d, speaks %s\n", h.Name, h.Address, h.RingPosition, h.API)
	}
	if c.ChangeInterval > 0 {
		background.Go(func() { c.changeTrails(ctx, data, trails) })
	}
	<-ctx.Done()
	return nil
}

// trails returns the initial data of the replicas.
func (c Config) trails() (fakedata.Shards, error) {
	if c.Data != "" {
		return fakedata.Read(c.Data)
	}
	return fakedata.New(c.Seed, c.Shards, trailsPerShard), nil
}

// listen opens a listener at a host's address, which must be a loopback address.
func (c Config) listen(host, address string) (net.Listener, error) {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil || !resolved.IP.IsLoopback() {
		return nil, fmt.Errorf("%s: host %s: %s is %w; emulated replicas can use no other",
			c.Inventory, host, address, ErrNotLoopback)
	}
	l, err := net.ListenTCP("tcp", resolved)
	if err != nil {
		return nil, fmt.Errorf("host %s: %w", host, err)
	}
	return l, nil
}

// changeTrails opens or closes a random trail after each ChangeInterval until ctx ends.
func (c Config) changeTrails(ctx context.Context, data *fake.Data, trails fakedata.Shards) {
	rng := rand.New(rand.NewPCG(c.Seed, changeStream))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(c.ChangeInterval):
		}
		for shard, shardTrails := range trails { // iterates in random order and stops after one shard
			doc := shardTrails[rng.IntN(len(shardTrails))].Doc()
			doc.Version, doc.Fields["open"] = nil, rng.IntN(2) > 0
			data.Put(shard, doc)
			break
		}
	}
}
