package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"harepass/internal/logmsg"
)

// Seeds of TestInventorySoak. By hand, more are played: -args -inventory-first 100 -inventory-seeds 50.
var (
	firstInventorySeed = flag.Uint64("inventory-first", 1, "the first seed of TestInventorySoak")
	inventorySeeds     = flag.Uint64("inventory-seeds", 4, "how many seeds TestInventorySoak plays")
)

const (
	soakRewrites = 12                     // of the inventory, for each seed
	maxTornPause = 500 * time.Millisecond // between two writes of a tool that closes the file
	maxOpenPause = 2 * time.Second        // between two writes of a tool that has the file open
)

// inventoryTool rewrites an inventory in ways that are drawn from a seed.
type inventoryTool struct {
	*inventoryFront
	random *rand.Rand
}

// Tools rewrite the inventory in place, by rename, with pauses anywhere in the text, or die and begin again, and
// SIGHUPs arrive at any time. Whatever is drawn, no part reaches a replica that does not hold its shard, every search
// is served, and only lists that a tool wrote to the end are put in force.
func TestInventorySoak(t *testing.T) {
	for seed := *firstInventorySeed; seed < *firstInventorySeed+*inventorySeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			file := []string{"nodes.csv", "nodes.yml"}[seed%2]
			tool := inventoryTool{newInventoryFront(t, file), rand.New(rand.NewPCG(seed, 0))}
			tool.start(tool.text(-1))
			tool.rewriteUnderLoad()
			if n := tool.misplaced.Load(); n > 0 {
				t.Errorf("%d parts reached a replica that does not hold their shard", n)
			}
			if torn := regexp.MustCompile(`(removed=([2-9]|1[0-9])|changed=[1-9]).*`).FindString(tool.log.String()); torn != "" {
				t.Errorf("a list was put in force that no tool wrote: %s", torn)
			}
			tool.endsInTime()
		})
	}
}

// rewriteUnderLoad rewrites the inventory while searches go on, and then checks that the last whole file is read.
func (tool inventoryTool) rewriteUnderLoad() {
	rewritten := make(chan struct{})
	go func() {
		defer close(rewritten)
		for range soakRewrites {
			tool.rewrite(tool.text(tool.random.IntN(ringSize+1) - 1))
		}
		tool.write(tool.text(-1))
	}()
	for done := false; !done; {
		select {
		case <-rewritten:
			done = true
		default:
			tool.searchFor(20 * time.Millisecond)
		}
	}
	readings := strings.Count(tool.log.String(), logmsg.InventoryReloaded)
	tool.reload()
	eventually(tool.t, "the last file is read", func() bool {
		return strings.Count(tool.log.String(), logmsg.InventoryReloaded) > readings
	})
}

// text returns an inventory without the replica at one position; with all of them if that is negative.
func (tool inventoryTool) text(without int) string {
	var lines []string
	text, separator := tool.csv("\n"), "node"
	if strings.HasSuffix(tool.inventory, ".yml") {
		text, separator = tool.yaml(), "    node"
	}
	for i, host := range strings.Split(text, separator) {
		if i-1 != without || i == 0 {
			lines = append(lines, host)
		}
	}
	return strings.Join(lines, separator)
}

// rewrite writes the inventory in a way that is drawn.
func (tool inventoryTool) rewrite(text string) {
	tool.maybeReload()
	switch tool.random.IntN(5) {
	case 0: // aside, and renamed
		aside := tool.inventory + ".new"
		if err := os.WriteFile(aside, []byte(text), 0o600); err != nil {
			tool.t.Error(err)
		}
		tool.maybeReload()
		if err := os.Rename(aside, tool.inventory); err != nil {
			tool.t.Error(err)
		}
	case 1: // in place, open all the time
		tool.writeInPieces(text, os.O_TRUNC, maxOpenPause)
	case 4: // over the old text, which is cut off at the end
		tool.writeInPieces(text, 0, maxOpenPause)
	case 2: // in place, and dead before the end
		tool.write(text[:tool.random.IntN(len(text))])
		tool.pause(maxTornPause)
		tool.write(text)
	default: // in place, opened for each of two writes
		cut := tool.random.IntN(len(text))
		tool.write(text[:cut])
		tool.pause(maxTornPause)
		tool.write(text)
	}
	tool.pause(4 * maxTornPause)
}

// writeInPieces writes the inventory in three pieces, with the file open in between. flag is os.O_TRUNC or 0.
func (tool inventoryTool) writeInPieces(text string, flag int, longest time.Duration) {
	f, err := os.OpenFile(tool.inventory, os.O_WRONLY|flag, 0)
	if err != nil {
		tool.t.Error(err)
		return
	}
	defer f.Close()
	first := tool.random.IntN(len(text))
	second := first + tool.random.IntN(len(text)-first)
	for _, piece := range []string{text[:first], text[first:second], text[second:]} {
		if _, err := f.WriteString(piece); err != nil {
			tool.t.Error(err)
		}
		tool.pause(longest)
	}
	if err := f.Truncate(int64(len(text))); err != nil {
		tool.t.Error(err)
	}
}

// pause waits for a time that is drawn, with a SIGHUP before or not.
func (tool inventoryTool) pause(longest time.Duration) {
	tool.maybeReload()
	time.Sleep(time.Duration(tool.random.Int64N(int64(longest))))
}

// maybeReload sends a SIGHUP in half of the calls.
func (tool inventoryTool) maybeReload() {
	if tool.random.IntN(2) == 0 {
		tool.reload()
	}
}
