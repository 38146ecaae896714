package rig

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Play plays the scenario and returns what did not hold. The timeline tells the rest.
func (f *Fleet) Play() error {
	for _, m := range f.running() {
		if err := f.ready(m); err != nil {
			return err
		}
	}
	f.Note("rig", "%d coordinators serve", len(f.running()))
	began := time.Now()
	for _, st := range f.Steps {
		time.Sleep(st.At - time.Since(began))
		if err := f.do(st); err != nil {
			return err
		}
	}
	time.Sleep(f.Lasts - time.Since(began))
	f.mend()
	err := f.settle()
	for _, m := range f.members {
		if m.crowd != nil {
			m.crowd.End()
		}
	}
	return errors.Join(err, f.stopAll(f.running()), f.verdict())
}

// do does one step.
func (f *Fleet) do(st Step) error {
	each := func(patterns string, what string, act func(*Member) error) error {
		for _, i := range match(patterns, "c", len(f.members)) {
			if m := f.members[i]; m.Process != nil {
				f.Note("rig", "%s %s", what, m.name)
				if err := act(m); err != nil {
					return err
				}
			}
		}
		return nil
	}
	switch {
	case st.Kill != "":
		return each(st.Kill, "kill", func(m *Member) error { f.kill(m); return nil })
	case st.Stop != "":
		return each(st.Stop, "stop", f.stop)
	case st.Pause != "":
		return each(st.Pause, "pause", func(m *Member) error { m.paused = true; return m.Process.Process.Signal(syscall.SIGSTOP) })
	case st.Resume != "":
		return each(st.Resume, "resume", f.resume)
	case st.Start != "":
		return f.start(match(st.Start, "c", len(f.members)))
	case st.Grow > 0:
		return f.grow(st.Grow, st.Told)
	case st.Node != "":
		for _, i := range match(st.Node, "n", len(f.nodes)) {
			f.Note("rig", "n%d becomes %s", i, st.Becomes)
			f.become(f.nodes[i], st.Becomes)
		}
		return nil
	}
	return f.link(st)
}

// resume lets a paused process go on.
func (f *Fleet) resume(m *Member) error {
	m.paused = false
	f.records.went(m)
	return m.Process.Process.Signal(syscall.SIGCONT)
}

// start starts those of some members that do not run, and waits for all of them.
func (f *Fleet) start(which []int) error {
	var some []*Member
	for _, i := range which {
		if m := f.members[i]; m.Process == nil {
			if err := f.begin(m); err != nil {
				return err
			}
			some = append(some, m)
		}
	}
	for _, m := range some {
		if err := f.ready(m); err != nil {
			return err
		}
	}
	return nil
}

// kill ends a process at once. What it had heard and not answered is lost.
func (f *Fleet) kill(m *Member) {
	f.weigh(m)
	m.Process.Process.Kill()
	<-m.Over
	m.Process = nil
}

// stop ends a process as planned; it answers what it has.
func (f *Fleet) stop(m *Member) error {
	f.weigh(m)
	p := m.Process
	if m.paused {
		f.resume(m)
	}
	p.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.Over:
		m.Process = nil
		if err != nil {
			return fmt.Errorf("rig: %s ended with %w\n%s", m.name, err, p.Log())
		}
		return nil
	case <-time.After(patient):
		f.kill(m)
		return fmt.Errorf("rig: %s does not end\n%s", m.name, p.Log())
	}
}

// stopAll stops some members at once.
func (f *Fleet) stopAll(some []*Member) error {
	errs := make([]error, len(some))
	var wg sync.WaitGroup
	for i, m := range some {
		wg.Go(func() { errs[i] = f.stop(m) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// grow makes it a fleet of another size: new members know, of the others those that are told, and the rest at the next step
// of this kind.
func (f *Fleet) grow(size int, told string) error {
	f.size = size
	hears := map[int]bool{}
	for _, i := range match(told, "c", len(f.members)) {
		hears[i] = true
	}
	for i, m := range f.members[:min(size, len(f.members))] {
		if m.Process != nil && m.told != size && (hears[i] || told == "") {
			m.told = size
			if err := f.configure(m); err != nil {
				return err
			}
			f.Note("rig", "%s hears of %d coordinators", m.name, size)
			if err := m.Process.Process.Signal(syscall.SIGHUP); err != nil {
				return err
			}
		}
	}
	var which []int
	for i := range min(size, len(f.members)) {
		which = append(which, i)
	}
	var over []*Member
	for _, m := range f.members[size:] {
		if m.Process != nil {
			f.Note("rig", "stop %s", m.name)
			over = append(over, m)
		}
	}
	return errors.Join(f.stopAll(over), f.start(which))
}

// ways lists the links that FROM and TO mean.
func (f *Fleet) ways(link string) (some []*Link) {
	names := strings.Fields(link)
	for _, i := range match(names[0], "c", len(f.members)) {
		if m := f.members[i]; names[1] == "registry" {
			some = append(some, m.disc)
		} else {
			for _, j := range match(names[1], "n", len(f.nodes)) {
				some = append(some, m.links[j])
			}
		}
	}
	return some
}

func (f *Fleet) link(st Step) error {
	some := f.ways(st.Link)
	if len(some) == 0 {
		return fmt.Errorf("rig: no link is like %q", st.Link)
	}
	f.Note("rig", "%d links %s: cut %q heal %t reset %t delay %v rate %d lose %v twice %v swap %v", len(some), st.Link, st.Cut, st.Heal, st.Reset, st.Delay, st.Rate, st.Lose, st.Twice, st.Swap)
	for _, k := range some {
		switch {
		case st.Cut != "":
			k.Cut(There, st.Cut != "back")
			k.Cut(Back, st.Cut != "there")
		case st.Heal:
			k.Mend()
		case st.Reset:
			k.Reset()
		case st.Delay > 0:
			k.Delay(st.Delay)
		case st.Rate > 0:
			k.Throttle(st.Rate)
		default:
			k.Spoil(Spoil{Lose: st.Lose, Twice: st.Twice, Swap: st.Swap, Seed: uint64(len(f.nodes))})
		}
	}
	return nil
}

// mend ends all faults: links are whole, nodes sound, and who was paused goes on.
func (f *Fleet) mend() {
	f.Note("rig", "all faults end")
	for _, m := range f.members {
		for _, k := range append([]*Link{m.disc}, m.links...) {
			k.Mend()
		}
		if m.Process != nil && m.paused {
			f.resume(m)
		}
	}
	for _, n := range f.nodes {
		n.mu.Lock()
		state, status := n.state, n.entry.Status
		n.mu.Unlock()
		if status != "in_service" {
			f.become(n, "back")
		} else if state != "sound" {
			f.become(n, "sound")
		}
	}
}

// settle waits until every coordinator that runs has served a whole summary: each section was reached.
func (f *Fleet) settle() (err error) {
	summary := question{sections: upTo(f.sections())}
	for _, c := range f.site.classes {
		if summary.class.name == "" || c.partial() {
			summary.class = c
		}
	}
	for _, m := range f.running() {
		tries := 0
		err = errors.Join(err, Wait(m.name+" serves a whole summary after the faults", func() bool {
			tries++
			w := &visitor{address: m.listen}
			defer w.leave()
			answer, _, err := w.once(summary.request(summary.class.id(fmt.Sprintf("after-%s-%d", m.name, tries)), f.site.tenant))
			return err == nil && answer.Entire
		}))
	}
	if err == nil {
		f.Note("rig", "%d coordinators serve whole summaries", len(f.running()))
	}
	return err
}
