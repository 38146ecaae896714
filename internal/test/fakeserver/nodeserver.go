// Package fakeserver serves the map nodes of an inventory, emulated on real sockets of loopback addresses.
package fakeserver

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os/signal"
	"syscall"
	"time"

	"harepass/internal/inventory"
	"harepass/internal/platform"
	"harepass/internal/test/fake"
	"harepass/internal/test/fakedata"
)

// Config is what the nodes hold and do. All have one copy of the data.
type Config struct {
	Inventory string // file of the nodes, in CSV or YAML
	Data      string // file of the trails, in YAML; made from the seed if empty
	Seed      uint64
	Sections  int           // that are made from the seed
	Cells     int           // of the ring
	Unit      time.Duration // that a unit of work takes
	Change    time.Duration // between changes of the data; 0 for none
}

const nodeCores = 2

// trailsPerSection is how many trails a section has where the data is made from a seed.
const trailsPerSection = 8

// Serve listens on every address of the inventory, which have to be loopback ones, and serves until ctx is done or
// the program is interrupted.
func (c Config) Serve(ctx context.Context, out io.Writer) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	trails := fakedata.New(c.Seed, c.Sections, trailsPerSection)
	if c.Data != "" {
		var err error
		if trails, err = fakedata.Read(c.Data); err != nil {
			return err
		}
	}
	hosts, err := inventory.Load(c.Inventory, "", c.Cells)
	if err != nil {
		return err
	}
	data := trails.Data(false)
	for _, h := range hosts {
		address, err := net.ResolveTCPAddr("tcp", h.Address)
		if err != nil || !address.IP.IsLoopback() {
			return fmt.Errorf("%s: host %s: %s is no loopback address; emulated nodes serve on no other", c.Inventory, h.Name, h.Address)
		}
		l, err := net.ListenTCP("tcp", address)
		if err != nil {
			return fmt.Errorf("host %s: %w", h.Name, err)
		}
		defer l.Close()
		f := &fake.Replicas{Data: data, WorkUnit: c.Unit, Cores: nodeCores}
		if h.API == platform.Scheme {
			go f.ServeFrames(l)
		} else {
			go f.ServeAPI(l)
		}
		fmt.Fprintf(out, "%s on %s, cell %d, speaks %s\n", h.Name, h.Address, h.RingPosition, h.API)
	}
	if c.Change > 0 {
		go c.changeTrails(ctx, data, trails)
	}
	<-ctx.Done()
	return nil
}

// changeTrails opens or closes a trail now and then.
func (c Config) changeTrails(ctx context.Context, data *fake.Data, sections fakedata.Sections) {
	rng := rand.New(rand.NewPCG(c.Seed, 0x736572))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(c.Change):
		}
		for section, trails := range sections { // any
			t := trails[rng.IntN(len(trails))]
			doc := t.Doc()
			doc.Version, doc.Fields["open"] = nil, rng.IntN(2) > 0
			data.Put(section, doc)
			break
		}
	}
}
