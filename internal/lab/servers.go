package lab

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
	"harepass/internal/standin"
)

// Servers are emulated nodes on real sockets, all with one copy of the data.
type Servers struct {
	Inventory, Data string // files
	Seed            uint64
	Sections, Cells int
	Unit, Change    time.Duration
}

const serverTrails = 8 // of a section, where the data is made

// Serve listens on every address of the inventory, which have to be loopback ones, and serves until ctx is done or
// the program is interrupted.
func (s Servers) Serve(ctx context.Context, out io.Writer) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	m := NewMountain(s.Seed, s.Sections, serverTrails)
	if s.Data != "" {
		var err error
		if m, err = LoadMountain(s.Data); err != nil {
			return err
		}
	}
	hosts, err := inventory.Load(s.Inventory, "", s.Cells)
	if err != nil {
		return err
	}
	data := m.Data(false)
	for _, h := range hosts {
		address, err := net.ResolveTCPAddr("tcp", h.Address)
		if err != nil || !address.IP.IsLoopback() {
			return fmt.Errorf("%s: host %s: %s is no loopback address; emulated nodes serve on no other", s.Inventory, h.Name, h.Address)
		}
		l, err := net.ListenTCP("tcp", address)
		if err != nil {
			return fmt.Errorf("host %s: %w", h.Name, err)
		}
		defer l.Close()
		f := &standin.Fleet{Data: data, Unit: s.Unit, Cores: 2}
		if h.API == platform.Scheme {
			go f.Frames(l)
		} else {
			go f.API(l)
		}
		fmt.Fprintf(out, "%s on %s, cell %d, speaks %s\n", h.Name, h.Address, h.Cell, h.API)
	}
	if s.Change > 0 {
		go s.change(ctx, data, m)
	}
	<-ctx.Done()
	return nil
}

// change opens or closes a trail now and then.
func (s Servers) change(ctx context.Context, data *standin.Data, m Mountain) {
	rng := rand.New(rand.NewPCG(s.Seed, 0x736572))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.Change):
		}
		for section, trails := range m { // any
			t := trails[rng.IntN(len(trails))]
			doc := t.Doc()
			doc.Version, doc.Fields["open"] = nil, rng.IntN(2) > 0
			data.Put(section, doc)
			break
		}
	}
}
