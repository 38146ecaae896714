// The stand-ins and drivers of the second review's cases. The first argument names the case, the second its folder.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
)

// bench is what every case has at hand.
type bench struct {
	rec     *record
	root    string // of the repository
	folder  string // temporary
	trouble bool   // false for TROUBLE=0
	mu      sync.Mutex
	running []*coordinator
}

// start starts a coordinator that the case ends.
func (b *bench) start(o startOptions) (*coordinator, error) {
	o.folder = b.folder
	c, err := startCoordinator(b.rec, b.root, o)
	if err == nil {
		b.add(c)
	}
	return c, err
}

// add records a process that the case ends.
func (b *bench) add(c *coordinator) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running = append(b.running, c)
}

// killAll ends all processes of the case.
func (b *bench) killAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.running {
		c.kill()
	}
}

// cleanUpOnSignal ends the case when the driver is told to end.
func (b *bench) cleanUpOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		b.rec.add("the driver got %v", <-signals)
		b.killAll()
		os.RemoveAll(b.folder)
		os.Exit(cannotRun)
	}()
}

var cases = map[string]func(*bench) (broken bool, err error){}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE FOLDER")
		return cannotRun
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	rec, err := openRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	tmp, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(tmp)
	} else {
		fmt.Fprintln(os.Stderr, tmp)
	}
	b := &bench{rec: rec, root: filepath.Dir(filepath.Dir(folder)), folder: tmp, trouble: os.Getenv("TROUBLE") != "0"}
	b.cleanUpOnSignal()
	broken, err := cases[os.Args[1]](b)
	b.killAll()
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return cannotRun
	case broken:
		rec.add("verdict: the rule was broken")
		fmt.Println("the rule was broken")
		return ruleBroken
	}
	rec.add("verdict: the rule held")
	fmt.Println("the rule held")
	return ruleHeld
}

func main() { os.Exit(run()) }
