package faultinjection

import "errors"

// resize changes the fleet size: it stops the members beyond the new size and starts those within it that do not run. A
// member that starts has the new size in its configuration. Of the members that already run, those that match the
// patterns (all if empty) are reconfigured now, and the rest by a later Resize step.
func (f *Fleet) resize(size int, reconfigured string) error {
	f.targetSize = size
	if err := f.reconfigureRunning(reconfigured); err != nil {
		return err
	}
	var within []int
	for i := range min(size, len(f.members)) {
		within = append(within, i)
	}
	var beyond []*member
	for _, m := range f.members[size:] {
		if m.Process != nil {
			f.Note(sourceHarness, "stop %s", m.name)
			beyond = append(beyond, m)
		}
	}
	return errors.Join(f.stopAll(beyond), f.startAll(within))
}

// reconfigureRunning writes the fleet size to the configuration of the running members that match the patterns (all if
// empty), and has their processes reload it. It skips members that already have this size.
func (f *Fleet) reconfigureRunning(patterns string) error {
	named := map[int]bool{}
	for _, i := range match(patterns, "c", len(f.members)) {
		named[i] = true
	}
	for i, m := range f.members[:min(f.targetSize, len(f.members))] {
		if m.Process == nil || m.configuredSize == f.targetSize || patterns != "" && !named[i] {
			continue
		}
		m.configuredSize = f.targetSize
		f.Note(sourceHarness, "%s reconfigured as one of %d coordinators", m.name, f.targetSize)
		if err := f.reload(m); err != nil {
			return err
		}
	}
	return nil
}
